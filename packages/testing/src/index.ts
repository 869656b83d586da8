export type { Suite } from './describe.js';
export { describe } from './describe.js';
