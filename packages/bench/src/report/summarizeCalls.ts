import Table from 'cli-table3';

import type { FinishedCall } from '../load/LoadRunner.js';
import { callFigures } from './callFigures.js';

/**
 * Formats finished calls as a table for the terminal. Needs no deployment, so
 * it shows first-token quantiles instead of the attainment of targets.
 *
 * @param calls - finished calls
 * @returns the table, one row for each request class
 */
export function summarizeCalls(calls: readonly FinishedCall[]): string {
  const table = new Table({
    head: ['class', 'sent', 'whole', 'refused', 'other', 'first p50', 'p95'],
    style: { head: [], border: [] },
  });
  const classes = [...new Set(calls.map(call => call.stream.requestClass))];
  classes.sort().forEach(name => {
    const classCalls = calls.filter(call => call.stream.requestClass === name);
    const outcomes = classCalls.map(({ answer }) => answer.outcome);
    const refused = outcomes.filter(({ kind }) => kind === 'refused').length;
    const { whole, firstTokenP50Ms, firstTokenP95Ms } = callFigures(classCalls);
    table.push([
      name,
      classCalls.length,
      whole,
      refused,
      classCalls.length - whole - refused,
      firstTokenP50Ms.toFixed(0),
      firstTokenP95Ms.toFixed(0),
    ]);
  });
  return table.toString();
}
