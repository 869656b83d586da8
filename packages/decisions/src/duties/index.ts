export type { UsageInputs } from './decideUsage.js';
export { decideUsage, withReported } from './decideUsage.js';
export type { DutyBoard, DutySettings } from './DutyBoard.js';
export { createDutyBoard, standbyOf, recordHolding } from './DutyBoard.js';
export { FleetClock } from './FleetClock.js';
export type {
  DutyNotes,
  HolderId,
  Holding,
  HoldingNews,
  HoldingRow,
  ReplicaOrder,
  ServiceNeed,
  WindowUsage,
} from './Holding.js';
export { toHoldingNews, NO_NOTES } from './Holding.js';
export type {
  HoldingWrite,
  LeaseInputs,
  LeaseState,
  LeaseStep,
} from './LeaseState.js';
export { HolderLease } from './HolderLease.js';
export { parseHolding } from './parseHolding.js';
export type { CapacityOptions } from './scaling/CapacityEstimator.js';
export {
  CapacityEstimator,
  DEFAULT_CAPACITY,
} from './scaling/CapacityEstimator.js';
export type { PlanInputs, ReplicaPlan } from './scaling/planReplicas.js';
export { planReplicas, stepTowards } from './scaling/planReplicas.js';
export type { ReplicaCensus } from './scaling/replicaCensus.js';
export {
  addedReplicas,
  totalLasting,
  replicaCensus,
} from './scaling/replicaCensus.js';
export type { OrderInputs } from './scaling/ReplicaOrders.js';
export { ReplicaOrders } from './scaling/ReplicaOrders.js';
export type { InstanceUsage } from './UsageCollector.js';
export { UsageCollector } from './UsageCollector.js';
export { UsageLedger } from './UsageLedger.js';
