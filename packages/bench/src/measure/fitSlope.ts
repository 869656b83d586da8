import {
  linearRegression,
  linearRegressionLine,
  max,
  median,
  min,
  rSquared,
} from 'simple-statistics';

import type { Point, Slope } from './Measurement.js';

/** What is measured, before its points are known. */
export type SlopeTitle = Pick<Slope, 'name' | 'sizeUnit' | 'valueUnit'>;

/**
 * Measures a cost at several sizes and fits a line through the medians.
 *
 * @param title - name and units
 * @param sizes - at least four
 * @param repeats - readings at each size
 * @param read - takes one reading
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
  return lineThrough(title, points);
}

/**
 * Fits a line through points.
 *
 * @param title - name and units
 * @param points - at least two
 * @returns the slope
 */
export function lineThrough(
  title: SlopeTitle,
  points: readonly Point[],
): Slope {
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
