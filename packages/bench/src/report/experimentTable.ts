import Table from 'cli-table3';

import type { ExperimentResult } from '../experiments/ExperimentResult.js';

const SHARE_DIGITS = 3;
const WASTE_DIGITS = 4;

/**
 * Formats an experiment as a table for the terminal: one row for each arm, and
 * the attainment and longest wait for each request class.
 *
 * @param result - result of the experiment
 * @returns the table
 */
export function experimentTable(result: ExperimentResult): string {
  const [first] = result.arms;
  const classes = first?.classes ?? [];
  const table = new Table({
    head: [
      'arm',
      'goodput',
      'wasted',
      'broken',
      ...classes.map(({ name, tier }) => `${name} (${tier})`),
    ],
    style: { head: [], border: [] },
    wordWrap: true,
  });
  result.arms.forEach(arm => {
    table.push([
      arm.name,
      arm.goodput.toFixed(0),
      arm.wastedWork.toFixed(WASTE_DIGITS),
      arm.brokenPromises.length,
      ...arm.classes.map(
        ({ attainment, maxWaitMs }) =>
          `${attainment.toFixed(SHARE_DIGITS)} ${Math.round(maxWaitMs)}ms`,
      ),
    ]);
  });
  return table.toString();
}
