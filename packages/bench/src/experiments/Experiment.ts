import type { Scenario } from '../simulation/Scenario.js';

/** An experiment that is simulated in virtual time. */
export interface Experiment {
  readonly meta: {
    /** Name in kebab case, the same as the file name. */
    readonly name: string;
    readonly description: string;
    /**
     * Ablations that are relevant to this experiment, run in addition to the
     * baselines.
     */
    readonly ablations: readonly string[];
  };
  /**
   * Derives the scenario of the experiment from a deployment under normal load.
   */
  readonly create: (deployment: Scenario) => Scenario;
}
