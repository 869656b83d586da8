import Table from 'cli-table3';

import type { FinishedCall } from '../load/LoadRunner.js';

const MEDIAN = 0.5;
const HIGH = 0.95;

function quantile(values: readonly number[], share: number): string {
  const sorted = [...values].sort((a, b) => a - b);
  const value = sorted[Math.floor(share * (sorted.length - 1))];
  return value === undefined ? '-' : value.toFixed(0);
}

/**
 * Draws what callers saw, without knowing the declared targets.
 *
 * @param calls - finished calls
 * @returns a table by class
 */
export function summarizeCalls(calls: readonly FinishedCall[]): string {
  const table = new Table({
    head: ['class', 'sent', 'whole', 'refused', 'other', 'first p50', 'p95'],
    style: { head: [], border: [] },
  });
  const classes = [...new Set(calls.map(call => call.stream.requestClass))];
  classes.sort().forEach(name => {
    const own = calls.filter(call => call.stream.requestClass === name);
    const outcomes = own.map(({ answer }) => answer.outcome);
    const whole = outcomes.filter(outcome => outcome.kind === 'whole');
    const refused = outcomes.filter(({ kind }) => kind === 'refused').length;
    const waits = whole.map(({ firstTokenMs }) => firstTokenMs);
    table.push([
      name,
      own.length,
      whole.length,
      refused,
      own.length - whole.length - refused,
      quantile(waits, MEDIAN),
      quantile(waits, HIGH),
    ]);
  });
  return table.toString();
}
