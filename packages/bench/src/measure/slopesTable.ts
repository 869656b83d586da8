import Table from 'cli-table3';

import type { SlopesResult } from './Measurement.js';

const DIGITS = 4;

/**
 * Formats measured slopes for a terminal.
 *
 * @param result - the measurement
 * @returns a table of the slopes, followed by the other figures
 */
export function slopesTable(result: SlopesResult): string {
  const table = new Table({
    head: ['what', 'size: median (min to max)', 'slope', 'at 0', 'r²'],
    style: { head: [], border: [] },
  });
  result.slopes.forEach(slope => {
    const points = slope.points.map(
      ({ size, value, min, max }) =>
        `${size}: ${value.toPrecision(DIGITS)} (${min.toPrecision(DIGITS)} to ${max.toPrecision(DIGITS)})`,
    );
    table.push([
      `${slope.name}, ${slope.valueUnit} over ${slope.sizeUnit}`,
      points.join('\n'),
      slope.slope.toPrecision(DIGITS),
      slope.intercept.toPrecision(DIGITS),
      slope.rSquared.toFixed(2),
    ]);
  });
  const figures = Object.entries(result.figures).map(
    ([name, value]) => `${name}: ${value.toPrecision(DIGITS)}`,
  );
  return [table.toString(), ...figures].join('\n');
}
