export type { ConnectionError } from './ConnectionError.js';
export { connectionErrorBody } from './ConnectionError.js';
export type { ConnectionErrorHandling } from './handleConnectionErrors.js';
export { handleConnectionErrors } from './handleConnectionErrors.js';
