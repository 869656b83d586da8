import { quantile } from 'simple-statistics';

import type { FinishedCall } from '../load/LoadRunner.js';

/** Totals and first-token quantiles of a load, for machine-readable output. */
export interface CallFigures {
  readonly calls: number;
  readonly whole: number;
  readonly tokens: number;
  readonly firstTokenP50Ms: number;
  readonly firstTokenP95Ms: number;
}

const MEDIAN = 0.5;
const P95 = 0.95;

/**
 * Summarises finished calls in numbers.
 *
 * @param calls - finished calls
 * @returns counts and first-token quantiles; the quantiles are 0 if no answer
 *   was complete
 */
export function callFigures(calls: readonly FinishedCall[]): CallFigures {
  const whole = calls
    .map(({ answer }) => answer.outcome)
    .filter(outcome => outcome.kind === 'whole');
  const firstTokenTimesMs = whole.map(({ firstTokenMs }) => firstTokenMs);
  const quantileAt = (share: number): number =>
    firstTokenTimesMs.length === 0 ? 0 : quantile(firstTokenTimesMs, share);
  return {
    calls: calls.length,
    whole: whole.length,
    tokens: whole.reduce((sum, { tokens }) => sum + tokens, 0),
    firstTokenP50Ms: quantileAt(MEDIAN),
    firstTokenP95Ms: quantileAt(P95),
  };
}
