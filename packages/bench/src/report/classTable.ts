import Table from 'cli-table3';

import type { ClassResult } from './ClassResult.js';

const SHARE_DIGITS = 3;

/**
 * Draws results as a table for a terminal.
 *
 * @param classes - results, one a row
 * @returns the table, highest tier first
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
