import type { Scenario } from '../simulation/Scenario.js';

/** An experiment in virtual time, as data plus a factory. */
export interface Experiment {
  readonly meta: {
    /** Kebab-case, equal to the file name. */
    readonly name: string;
    readonly description: string;
    /** Ablations that say something here, besides the baselines. */
    readonly ablations: readonly string[];
  };
  /** Changes a deployment in ordinary load into the experiment. */
  readonly create: (deployment: Scenario) => Scenario;
}
