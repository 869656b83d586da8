export type { Suite } from './describe.js';
export { describe } from './describe.js';
export type { DutyAct } from './dutyActs.js';
export { faultOf } from './dutyActs.js';
