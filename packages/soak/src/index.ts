export type {
  LinkMode,
  LinkOrder,
  OpenConnectionFate,
} from './faults/ReplicaLinks.js';
export { ReplicaLinks } from './faults/ReplicaLinks.js';
export { FAULT_KINDS } from './faults/planFaults.js';
export { killChildrenOnExit } from './processes/SoakProcess.js';
export { runSoakReplica } from './processes/runSoakReplica.js';
export type { SoakResult } from './runSoak.js';
export { runSoak } from './runSoak.js';
export type * from './SoakEnvironment.js';
