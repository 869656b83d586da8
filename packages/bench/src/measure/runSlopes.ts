import { measureDecisions } from './measureDecisions.js';
import { measureHeartbeats } from './measureHeartbeats.js';
import type { Slope, SlopesResult } from './Measurement.js';
import { measureDataPath, measureIdle } from './measureProcesses.js';
import { measureState } from './measureState.js';

/** Parts of the measurement, which can be run separately. */
export const SLOPE_PARTS = [
  'decisions',
  'state',
  'heartbeats',
  'idle',
  'data-path',
] as const;

export type SlopePart = (typeof SLOPE_PARTS)[number];

async function measurePart(part: SlopePart): Promise<Partial<SlopesResult>> {
  const slopesOnly = async (
    work: Promise<readonly Slope[]>,
  ): Promise<Partial<SlopesResult>> => ({ slopes: await work });
  switch (part) {
    case 'decisions':
      return slopesOnly(measureDecisions());
    case 'state':
      return slopesOnly(measureState());
    case 'heartbeats':
      return slopesOnly(measureHeartbeats());
    case 'idle':
      return slopesOnly(measureIdle());
    case 'data-path':
      return measureDataPath();
  }
}

/**
 * Measures the slopes that docs/CAPACITY.md is based on.
 *
 * @param parts - parts to measure
 * @param onProgress - called with a status line before each part
 * @returns slopes with their points, and other figures
 */
export async function runSlopes(
  parts: readonly SlopePart[],
  onProgress: (line: string) => void,
): Promise<SlopesResult> {
  const slopes: Slope[] = [];
  let figures: Readonly<Record<string, number>> = {};
  for (const part of parts) {
    onProgress(`measuring ${part}`);
    const measured = await measurePart(part);
    slopes.push(...(measured.slopes ?? []));
    figures = { ...figures, ...measured.figures };
  }
  return { experiment: 'slopes', slopes, figures };
}
