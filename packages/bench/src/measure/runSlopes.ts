import { measureDecisions } from './measureDecisions.js';
import { measureHeartbeats } from './measureHeartbeats.js';
import type { Slope, SlopesResult } from './Measurement.js';
import { measureDataPath, measureIdle } from './measureProcesses.js';
import { measureState } from './measureState.js';

/** Parts of the measurement, which can be run alone. */
export const SLOPE_PARTS = [
  'decisions',
  'state',
  'heartbeats',
  'idle',
  'data-path',
] as const;

export type SlopePart = (typeof SLOPE_PARTS)[number];

async function measure(part: SlopePart): Promise<Partial<SlopesResult>> {
  const only = async (
    work: Promise<readonly Slope[]>,
  ): Promise<Partial<SlopesResult>> => ({ slopes: await work });
  switch (part) {
    case 'decisions':
      return only(measureDecisions());
    case 'state':
      return only(measureState());
    case 'heartbeats':
      return only(measureHeartbeats());
    case 'idle':
      return only(measureIdle());
    case 'data-path':
      return measureDataPath();
  }
}

/**
 * Measures the slopes that docs/CAPACITY.md is worked out from.
 *
 * @param parts - which of them
 * @param say - told before each part
 * @returns slopes with their points, and single figures
 */
export async function runSlopes(
  parts: readonly SlopePart[],
  say: (line: string) => void,
): Promise<SlopesResult> {
  const slopes: Slope[] = [];
  let figures: Readonly<Record<string, number>> = {};
  for (const part of parts) {
    say(`measuring ${part}`);
    const measured = await measure(part);
    slopes.push(...(measured.slopes ?? []));
    figures = { ...figures, ...measured.figures };
  }
  return { experiment: 'slopes', slopes, figures };
}
