export { classifyFailure } from './classifyFailure.js';
export { ConnectionPools } from './ConnectionPools.js';
export type {
  AttemptHandle,
  AttemptListener,
  ChatMessage,
  EngineCall,
  EngineProgress,
} from './EngineCall.js';
export { fetchLoadReport } from './fetchLoadReport.js';
export { startEngineAttempt } from './startEngineAttempt.js';
export type { ServiceCall, ServiceReply } from './startServiceAttempt.js';
export { startServiceAttempt } from './startServiceAttempt.js';
export { connectResetAware } from './util/connectResetAware.js';
