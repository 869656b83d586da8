export { applyAuditEntry, applyEntity } from './configuration/applyEntity.js';
export type {
  ChangeOutcome,
  ChangeRequest,
  StoredEntity,
} from './configuration/ConfigurationStore.js';
export { ConfigurationStore } from './configuration/ConfigurationStore.js';
export type { Platform } from './http/createPlatform.js';
export { createPlatform } from './http/createPlatform.js';
export type { InstanceList, ListedInstance } from './ports/InstanceList.js';
export type { ObjectStore } from './ports/ObjectStore.js';
export type {
  Row,
  ScanOptions,
  TableStore,
  TableWrite,
  TransactResult,
} from './ports/TableStore.js';
export type { WeightGrant, WeightStore } from './ports/WeightStore.js';
