export type { RawEntity } from './entityMessages.js';
export {
  fromProtoEntity,
  fromProtoKind,
  toProtoEntity,
  toProtoKind,
} from './entityMessages.js';
export type * as proto from './generated/jujubecroft.js';
export { HeartbeatMessage } from './generated/peers.js';
export {
  DemandReport,
  EntityKind as ProtoEntityKind,
  OperatorClient,
  OperatorService,
  PeerClient,
  PeerService,
  ShareReply,
} from './generated/jujubecroft.js';
export { bindServer } from './bindServer.js';
export { ClientCache } from './ClientCache.js';
export type { UnaryMethod } from './unary.js';
export { unary } from './unary.js';
export type { DeploymentEntities } from './applyDeployment.js';
export { applyDeployment } from './applyDeployment.js';
export { OperatorConnection } from './OperatorConnection.js';
export {
  fromHeartbeatMessage,
  toHeartbeatMessage,
} from './heartbeatMessages.js';
