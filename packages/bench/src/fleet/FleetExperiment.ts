import type { ClassResult } from '../report/ClassResult.js';

/** Options of a fleet experiment run. */
export interface FleetOptions {
  readonly seed: number;
  /** Length of the load; null for the experiment's default. */
  readonly seconds: number | null;
}

/** Result of a fleet experiment, in the form that `--out` writes. */
export interface FleetResult {
  readonly experiment: string;
  readonly seed: number;
  /** Measured values by name; a name that ends in `Ms` is in milliseconds. */
  readonly figures: Readonly<Record<string, number>>;
  readonly classes: readonly ClassResult[];
  /** Violated guarantees, one line each. */
  readonly brokenPromises: readonly string[];
}

/**
 * An experiment that reports named figures in addition to results by request
 * class.
 */
export interface FleetExperiment {
  readonly meta: {
    /** Name in kebab case, the same as the file name. */
    readonly name: string;
    readonly description: string;
  };
  readonly run: (options: FleetOptions) => Promise<FleetResult>;
}
