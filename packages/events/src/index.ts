export type { EventLog } from './EventLog.js';
export { createEventLog, SILENT_LOG } from './EventLog.js';
export type { EventLogOptions } from './createBoundedLog.js';
export { createBoundedLog } from './createBoundedLog.js';
export { LineWriter } from './LineWriter.js';
export type { LogEvent, LogEventId, LogLevel } from './logEvents.js';
export { LOG_EVENTS } from './logEvents.js';
export type { RequestExplanation } from './explainRequest.js';
export { explainRequest } from './explainRequest.js';
export type { ParsedLine } from './readLogLines.js';
export { readLogLines } from './readLogLines.js';
export type {
  LogSummary,
  ServerSummary,
  WindowSummary,
} from './summariseLines.js';
export { summariseLines } from './summariseLines.js';
export type { EndedSummary } from './summariseEnded.js';
export type { SizeGroup, SizeSummary } from './summariseSizes.js';
