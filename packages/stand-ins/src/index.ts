export type { ChatMessage } from './engine/answer.js';
export {
  answerLength,
  countTokens,
  expectedAnswer,
  tokenAt,
} from './engine/answer.js';
export type { SequenceRequest, StepResult } from './engine/EngineModel.js';
export { EngineModel } from './engine/EngineModel.js';
export { startEngine } from './engine/startEngine.js';
export type { FencedCall } from './platform/FencedCalls.js';
export { FencedCalls } from './platform/FencedCalls.js';
export { startPlatform } from './platform/startPlatform.js';
export { Table } from './platform/Table.js';
export type {
  RowListener,
  RowsCopy,
  VersionedRow,
} from './platform/VersionedRows.js';
export { VersionedRows } from './platform/VersionedRows.js';
export { startService } from './service/startService.js';
export { DelayedValue } from './util/DelayedValue.js';
export type { RunningServer } from './util/RunningServer.js';
