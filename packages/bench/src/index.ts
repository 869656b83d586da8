export { demoDeployment, demoLoad, keyOf } from './demo/demoDeployment.js';
export type { RunCounts } from './demo/findGuaranteeViolations.js';
export { findGuaranteeViolations } from './demo/findGuaranteeViolations.js';
export { FLEET_TOKEN, LocalFleet } from './demo/LocalFleet.js';
export type { DemoOptions, DemoResult } from './demo/runDemo.js';
export { runDemo } from './demo/runDemo.js';
export type { CallObserver, FinishedCall } from './load/LoadRunner.js';
export { LoadRunner } from './load/LoadRunner.js';
export { nextArrivalMs } from './load/nextArrivalMs.js';
export type { ClassResult } from './report/ClassResult.js';
export { ClassTally } from './report/ClassTally.js';
export { classTable } from './report/classTable.js';
export { tallyCalls } from './report/tallyCalls.js';
export { summarizeCalls } from './report/summarizeCalls.js';
export { EXPERIMENTS } from './experiments/catalogue.js';
export type { Experiment } from './experiments/Experiment.js';
export type {
  ArmResult,
  ExperimentResult,
} from './experiments/ExperimentResult.js';
export type { ExperimentOptions } from './experiments/runExperiment.js';
export { runExperiment } from './experiments/runExperiment.js';
export { experimentTable } from './report/experimentTable.js';
export type { SlopesResult } from './measure/Measurement.js';
export type { SlopePart } from './measure/runSlopes.js';
export { runSlopes, SLOPE_PARTS } from './measure/runSlopes.js';
export { slopesTable } from './measure/slopesTable.js';
export { callFigures } from './report/callFigures.js';
export { FLEET_EXPERIMENTS } from './fleet/catalogue.js';
export type { FleetExperiment, FleetResult } from './fleet/FleetExperiment.js';
