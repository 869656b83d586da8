export type * as proto from './generated/peers.js';
export { GatewayState, HeartbeatMessage } from './generated/peers.js';
export {
  fromHeartbeatMessage,
  toHeartbeatMessage,
} from './heartbeatMessages.js';
export { decodeState, encodeState } from './stateBytes.js';
