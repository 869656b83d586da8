export type {
  ClientLimits,
  ClientResources,
  MachineLimits,
} from './clients/ClientLimits.js';
export {
  DEFAULT_MACHINE,
  divideResources,
  machineOf,
} from './clients/ClientLimits.js';
export type { ClientLimitListener } from './clients/limitClients.js';
export { CountedResponse, limitClients } from './clients/limitClients.js';
export { summariseLimits } from './clients/summariseLimits.js';
export type { TrackedConnection } from './clients/TrackedConnection.js';
export type { ConnectionError } from './ConnectionError.js';
export { connectionErrorBody } from './ConnectionError.js';
export type { ConnectionErrorHandling } from './handleConnectionErrors.js';
export { handleConnectionErrors } from './handleConnectionErrors.js';
