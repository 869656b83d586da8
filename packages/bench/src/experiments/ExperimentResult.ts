import type { ClassResult } from '../report/ClassResult.js';

/** One arm of an experiment. */
export interface ArmResult {
  readonly name: string;
  /** Share of generated tokens that never became part of a whole answer. */
  readonly wastedWork: number;
  /** Tokens a second of answers that met their targets. */
  readonly goodput: number;
  readonly classes: readonly ClassResult[];
  readonly brokenPromises: readonly string[];
}

/** Result of an experiment, as `--out` writes it. */
export interface ExperimentResult {
  readonly experiment: string;
  readonly seed: number;
  readonly arms: readonly ArmResult[];
}
