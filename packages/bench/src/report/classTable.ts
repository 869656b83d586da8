import Table from 'cli-table3';

import type { ClassResult } from './ClassResult.js';

const SHARE_DIGITS = 3;

/**
 * Formats the results by request class as a table for the terminal.
 *
 * @param classes - results, one for each row
 * @returns the table, sorted by tier number and then by class name
 */
export function classTable(classes: readonly ClassResult[]): string {
  const table = new Table({
    head: [
      'class',
      'tier',
      'sent',
      'whole',
      'refused',
      'attainment',
      'goodput tok/s',
      'wasted tok',
      'max wait ms',
    ],
    style: { head: [], border: [] },
  });
  [...classes]
    .sort((a, b) => a.tier - b.tier || (a.name < b.name ? -1 : 1))
    .forEach(row => {
      table.push([
        row.name,
        row.tier,
        row.sent,
        row.whole,
        row.refused,
        row.attainment.toFixed(SHARE_DIGITS),
        row.goodput.toFixed(1),
        row.wastedTokens,
        Math.round(row.maxWaitMs),
      ]);
    });
  return table.toString();
}
