import type { Arm } from '../simulation/Arm.js';
import { qantara } from '../simulation/qantara.js';
import { trosakKuhinje } from '../simulation/trosakKuhinje.js';
import { drawArrivals } from '../simulation/drawArrivals.js';
import { runArm } from '../simulation/runArm.js';
import type { Scenario } from '../simulation/Scenario.js';
import { armsFor } from './arms.js';
import type { Experiment } from './Experiment.js';
import type { ArmResult, ExperimentResult } from './ExperimentResult.js';

/** Options of an experiment run. */
export interface ExperimentOptions {
  readonly seed: number;
  /** Length of the load; null for the scenario's default. */
  readonly seconds: number | null;
}

const MAX_LISTED_VIOLATIONS = 20;

/** Runs one arm on each scenario and adds up the results. */
function runArmOnScenarios(
  scenarios: readonly Scenario[],
  arm: Arm,
  seed: number,
): ArmResult {
  const runs = scenarios.map(scenario => ({
    scenario,
    run: runArm(scenario, arm, seed, drawArrivals(scenario, seed)),
  }));
  const generated = runs.reduce((sum, { run }) => sum + run.generatedTokens, 0);
  const completed = runs.reduce((sum, { run }) => sum + run.completedTokens, 0);
  const classes = runs.flatMap(({ run }) => run.classes);
  const violations = runs.flatMap(({ scenario, run }) =>
    run.brokenPromises.map(line => `${scenario.name}: ${line}`),
  );
  return {
    name: arm.name,
    wastedWork: generated === 0 ? 0 : 1 - completed / generated,
    goodput: classes.reduce((sum, { goodput }) => sum + goodput, 0),
    classes,
    brokenPromises:
      violations.length > MAX_LISTED_VIOLATIONS
        ? [
            ...violations.slice(0, MAX_LISTED_VIOLATIONS),
            `and ${violations.length - MAX_LISTED_VIOLATIONS} more`,
          ]
        : violations,
  };
}

/**
 * Runs every arm of an experiment on both deployments. All arms get the same
 * calls.
 *
 * @param experiment - experiment to run
 * @param options - seed and length
 * @returns one result for each arm
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
    arms: armsFor(ablations).map(arm =>
      runArmOnScenarios(scenarios, arm, seed),
    ),
  };
}
