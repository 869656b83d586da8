import type { ClassResult } from '../report/ClassResult.js';

/**
 * Result of one arm: one set of policies, run on the calls of the experiment.
 */
export interface ArmResult {
  readonly name: string;
  /** Share of generated tokens that are not part of a complete answer. */
  readonly wastedWork: number;
  /** Tokens per second of answers that met their latency targets. */
  readonly goodput: number;
  readonly classes: readonly ClassResult[];
  /** Violated guarantees, one line each. */
  readonly brokenPromises: readonly string[];
}

/** Result of an experiment, in the form that `--out` writes. */
export interface ExperimentResult {
  readonly experiment: string;
  readonly seed: number;
  readonly arms: readonly ArmResult[];
}
