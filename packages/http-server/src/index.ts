export type { ConnectionError } from './ConnectionError.js';
export { statusOf } from './ConnectionError.js';
export type { TrackedRequest } from './trackRequests.js';
export { trackRequests } from './trackRequests.js';
