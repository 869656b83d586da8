import Table from 'cli-table3';

import type { FinishedCall } from '../load/LoadRunner.js';
import { callFigures } from './callFigures.js';

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
    const refused = outcomes.filter(({ kind }) => kind === 'refused').length;
    const { whole, firstTokenP50Ms, firstTokenP95Ms } = callFigures(own);
    table.push([
      name,
      own.length,
      whole,
      refused,
      own.length - whole - refused,
      firstTokenP50Ms.toFixed(0),
      firstTokenP95Ms.toFixed(0),
    ]);
  });
  return table.toString();
}
