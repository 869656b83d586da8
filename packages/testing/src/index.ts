export type { Suite } from './describe.js';
export { describe } from './describe.js';
export type { DutyAct } from './findLeaseViolation.js';
export { faultOf } from './findLeaseViolation.js';
