/** One measured point: the size that was set and the cost that was read. */
export interface Point {
  readonly size: number;
  /** Median of the repeats. */
  readonly value: number;
  readonly min: number;
  readonly max: number;
}

/** A cost over a size, with the line through its points. */
export interface Slope {
  readonly name: string;
  readonly sizeUnit: string;
  readonly valueUnit: string;
  readonly points: readonly Point[];
  /** Cost per unit of size. */
  readonly slope: number;
  /** Cost at size 0. */
  readonly intercept: number;
  /** 1 when the line explains the points fully. */
  readonly rSquared: number;
}

/** Result of `experiment run slopes`. */
export interface SlopesResult {
  readonly experiment: 'slopes';
  readonly slopes: readonly Slope[];
  readonly figures: Readonly<Record<string, number>>;
}
