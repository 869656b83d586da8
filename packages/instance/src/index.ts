export type { EventLog } from './events/EventLog.js';
export { createEventLog, SILENT_LOG } from './events/EventLog.js';
export type { LogEvent, LogEventId, LogLevel } from './events/logEvents.js';
export { LOG_EVENTS } from './events/logEvents.js';
export { ClaimBook } from './claims/ClaimBook.js';
export { ClaimCollectors } from './claims/ClaimCollectors.js';
export { WriteBatcher } from './claims/WriteBatcher.js';
export type { RunningInstance } from './startInstance.js';
export { startInstance } from './startInstance.js';
export {
  fromHeartbeatMessage,
  toHeartbeatMessage,
} from './state/peerMessages.js';
