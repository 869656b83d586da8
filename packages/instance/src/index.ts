export { ClaimStore } from './claims/ClaimStore.js';
export { ClaimCollectors } from './claims/ClaimCollectors.js';
export { WriteBatcher } from './claims/WriteBatcher.js';
export type { RunningInstance } from './startInstance.js';
export { startInstance } from './startInstance.js';
