import {
  linearRegression,
  linearRegressionLine,
  max,
  median,
  min,
  rSquared,
} from 'simple-statistics';

import type { Point, Slope } from './Measurement.js';

/** Name and units of a slope. */
export type SlopeTitle = Pick<Slope, 'name' | 'sizeUnit' | 'valueUnit'>;

/**
 * Measures a cost at several sizes and fits a line through the medians.
 *
 * @param title - name and units of the slope
 * @param sizes - sizes to measure at, at least four
 * @param repeats - number of readings at each size
 * @param read - takes one reading at a size
 * @returns the slope with its points
 */
export async function fitSlope(
  title: SlopeTitle,
  sizes: readonly number[],
  repeats: number,
  read: (size: number) => Promise<number> | number,
): Promise<Slope> {
  const points: Point[] = [];
  for (const size of sizes) {
    const readings: number[] = [];
    for (let repeat = 0; repeat < repeats; repeat += 1) {
      readings.push(await read(size));
    }
    points.push({
      size,
      value: median(readings),
      min: min(readings),
      max: max(readings),
    });
  }
  return fitLine(title, points);
}

/**
 * Fits a line to points by linear regression.
 *
 * @param title - name and units of the slope
 * @param points - points to fit, at least two
 * @returns the slope with its points
 */
export function fitLine(title: SlopeTitle, points: readonly Point[]): Slope {
  const pairs = points.map(({ size, value }) => [size, value]);
  const { m, b } = linearRegression(pairs);
  const line = linearRegressionLine({ m, b });
  return {
    ...title,
    points,
    slope: m,
    intercept: b,
    rSquared: rSquared(pairs, line),
  };
}
