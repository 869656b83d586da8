export type { Target } from './Crowd.js';
export { Crowd } from './Crowd.js';
export type { Suite } from './describe.js';
export { describe } from './describe.js';
export type { HolderCall } from './findLeaseViolation.js';
export { findLeaseViolation } from './findLeaseViolation.js';
