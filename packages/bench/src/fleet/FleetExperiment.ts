import type { ClassResult } from '../report/ClassResult.js';

/** How such an experiment is run. */
export interface FleetOptions {
  readonly seed: number;
  /** Length of the load; the experiment's own where null. */
  readonly seconds: number | null;
}

/** What such an experiment brought. */
export interface FleetResult {
  readonly experiment: string;
  readonly seed: number;
  readonly figures: Readonly<Record<string, number>>;
  readonly classes: readonly ClassResult[];
  readonly brokenPromises: readonly string[];
}

/** An experiment with figures of its own, as data plus a function. */
export interface FleetExperiment {
  readonly meta: {
    /** Kebab-case, equal to the file name. */
    readonly name: string;
    readonly description: string;
  };
  readonly run: (options: FleetOptions) => Promise<FleetResult>;
}
