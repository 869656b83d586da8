import { quantile } from 'simple-statistics';

import type { FinishedCall } from '../load/LoadRunner.js';

/** Figures of a load for programs. */
export interface CallFigures {
  readonly calls: number;
  readonly whole: number;
  readonly tokens: number;
  readonly firstTokenP50Ms: number;
  readonly firstTokenP95Ms: number;
}

const MEDIAN = 0.5;
const HIGH = 0.95;

/**
 * Adds up what callers saw.
 *
 * @param calls - finished calls
 * @returns counts and first-token quantiles; 0 where no answer was whole
 */
export function callFigures(calls: readonly FinishedCall[]): CallFigures {
  const whole = calls
    .map(({ answer }) => answer.outcome)
    .filter(outcome => outcome.kind === 'whole');
  const waits = whole.map(({ firstTokenMs }) => firstTokenMs);
  const at = (share: number): number =>
    waits.length === 0 ? 0 : quantile(waits, share);
  return {
    calls: calls.length,
    whole: whole.length,
    tokens: whole.reduce((sum, { tokens }) => sum + tokens, 0),
    firstTokenP50Ms: at(MEDIAN),
    firstTokenP95Ms: at(HIGH),
  };
}
