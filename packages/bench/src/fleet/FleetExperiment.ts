import type { ClassResult } from '../report/ClassResult.js';

/** How an experiment over real sockets is run. */
export interface FleetOptions {
  readonly seed: number;
  /** Length of the load; the experiment's own where null. */
  readonly seconds: number | null;
}

/** What an experiment over real sockets brought. */
export interface FleetResult {
  readonly experiment: string;
  readonly seed: number;
  readonly figures: Readonly<Record<string, number>>;
  readonly classes: readonly ClassResult[];
  readonly brokenPromises: readonly string[];
}

/** An experiment over real sockets in one process, as data plus a function. */
export interface FleetExperiment {
  readonly meta: {
    /** Kebab-case, equal to the file name. */
    readonly name: string;
    readonly description: string;
  };
  readonly run: (options: FleetOptions) => Promise<FleetResult>;
}
