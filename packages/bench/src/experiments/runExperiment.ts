import type { Arm } from '../simulation/Arm.js';
import { qantara } from '../simulation/qantara.js';
import { trosakKuhinje } from '../simulation/trosakKuhinje.js';
import { drawArrivals } from '../simulation/drawArrivals.js';
import { runArm } from '../simulation/runArm.js';
import type { Scenario } from '../simulation/Scenario.js';
import { armsFor } from './arms.js';
import type { Experiment } from './Experiment.js';
import type { ArmResult, ExperimentResult } from './ExperimentResult.js';

/** How an experiment is run. */
export interface ExperimentOptions {
  readonly seed: number;
  /** Length of the load; the experiment's own where null. */
  readonly seconds: number | null;
}

const MAX_BROKEN = 20;

function runBoth(
  scenarios: readonly Scenario[],
  arm: Arm,
  seed: number,
): ArmResult {
  const runs = scenarios.map(scenario => ({
    scenario,
    run: runArm(scenario, arm, seed, drawArrivals(scenario, seed)),
  }));
  const generated = runs.reduce((sum, { run }) => sum + run.generatedTokens, 0);
  const whole = runs.reduce((sum, { run }) => sum + run.wholeTokens, 0);
  const classes = runs.flatMap(({ run }) => run.classes);
  const broken = runs.flatMap(({ scenario, run }) =>
    run.brokenPromises.map(line => `${scenario.name}: ${line}`),
  );
  return {
    name: arm.name,
    wastedWork: generated === 0 ? 0 : 1 - whole / generated,
    goodput: classes.reduce((sum, { goodput }) => sum + goodput, 0),
    classes,
    brokenPromises:
      broken.length > MAX_BROKEN
        ? [
            ...broken.slice(0, MAX_BROKEN),
            `and ${broken.length - MAX_BROKEN} more`,
          ]
        : broken,
  };
}

/**
 * Runs every arm of an experiment on both deployments with the same calls.
 *
 * @param experiment - from the catalogue
 * @param options - seed and length
 * @returns one result an arm
 */
export function runExperiment(
  experiment: Experiment,
  options: ExperimentOptions,
): ExperimentResult {
  const { seed, seconds } = options;
  const scenarios = [trosakKuhinje(), qantara()]
    .map(deployment => experiment.create(deployment))
    .map(scenario => ({ ...scenario, seconds: seconds ?? scenario.seconds }));
  const { name, ablations } = experiment.meta;
  return {
    experiment: name,
    seed,
    arms: armsFor(ablations).map(arm => runBoth(scenarios, arm, seed)),
  };
}
