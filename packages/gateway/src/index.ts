export { KeepAliveAgent } from './backends/KeepAliveAgent.js';
export { requestWhole } from './backends/requestWhole.js';
export type { GatewayContext } from './GatewayContext.js';
export { isReady } from './GatewayContext.js';
export type { GatewaySettings, ListenAddress } from './GatewaySettings.js';
export type {
  AnswerHead,
  BackendHead,
  CallerDialect,
  CallerHead,
  RawHeaders,
} from './ports/CallerDialect.js';
export type {
  ConfigurationRead,
  DiscoveryStore,
  ReplicaRead,
} from './ports/DiscoveryStore.js';
export { HISTORY_GONE } from './ports/DiscoveryStore.js';
export type { EngineControl, RunMove } from './ports/EngineControl.js';
export type {
  DutyAnswer,
  DutyCaller,
  DutyPlatform,
  DutyPorts,
  HoldingRead,
  HoldingStore,
  HoldingWritten,
} from './ports/DutyPorts.js';
export type { SideRoutes } from './side/createSideApp.js';
export { chooseAddresses } from './side/chooseAddresses.js';
export type { GatewayPorts, RunningGateway } from './startGateway.js';
export { startGateway } from './startGateway.js';
export { fromReplicaFields, toReplicaFields } from './state/gatewayState.js';
