/** One measured point: a size and the cost that was measured at it. */
export interface Point {
  readonly size: number;
  /** Median of the readings. */
  readonly value: number;
  readonly min: number;
  readonly max: number;
}

/** Cost as a function of size, with the line that is fitted to the points. */
export interface Slope {
  readonly name: string;
  readonly sizeUnit: string;
  readonly valueUnit: string;
  readonly points: readonly Point[];
  /** Cost per unit of size. */
  readonly slope: number;
  /** Cost at size 0 on the fitted line. */
  readonly intercept: number;
  /** Coefficient of determination; 1 if all points are on the line. */
  readonly rSquared: number;
}

/** Result of `experiment run slopes`. */
export interface SlopesResult {
  readonly experiment: 'slopes';
  readonly slopes: readonly Slope[];
  readonly figures: Readonly<Record<string, number>>;
}
