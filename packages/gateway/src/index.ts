export type {
  JsonCall,
  JsonClientOptions,
  JsonReply,
} from './backends/JsonClient.js';
export { JsonClient } from './backends/JsonClient.js';
export type { SocketFactory } from './backends/openSocket.js';
export { sendHttpRequest } from './backends/sendHttpRequest.js';
export type { GatewayContext } from './GatewayContext.js';
export { isReady } from './GatewayContext.js';
export type { GatewaySettings, ListenAddress } from './GatewaySettings.js';
export type {
  ResponseHead,
  BackendRequestHead,
  CallerDialect,
  RequestHead,
  RawHeaders,
} from './ports/CallerDialect.js';
export type {
  ConfigurationRead,
  DiscoveryStore,
  TableRead,
  ReplicaRead,
} from './ports/DiscoveryStore.js';
export { HISTORY_GONE } from './ports/DiscoveryStore.js';
export type {
  ConditionalTable,
  TableRow,
} from './duties/createHoldingStore.js';
export { createHoldingStore } from './duties/createHoldingStore.js';
export type {
  DutyCallResult,
  DutyCaller,
  DutyPlatform,
  DutyPorts,
  HoldingRead,
  HoldingStore,
  HoldingWriteResult,
} from './ports/DutyPorts.js';
export type { SideRoutes } from './side/createSideApp.js';
export { addressAgeMs, chooseAddresses } from './side/chooseAddresses.js';
export type { GatewayPorts, RunningGateway } from './startGateway.js';
export { startGateway } from './startGateway.js';
export { parseMemberEntry } from './state/parseMemberEntry.js';
export {
  formatRetryAfter,
  parseAmount,
  parseCount,
  parseNumber,
  parseRetryAfterMs,
  parseSlowdown,
} from './util/headerNumbers.js';
export { parseReportedLoad } from './util/parseReportedLoad.js';
export { parsePromptParts } from './util/parsePromptParts.js';
export { formatRowContent, parseRowContent } from './util/rowContent.js';
export { keepLast } from './util/keepLast.js';
export {
  addOptionalHeader,
  agreedValue,
  createHeaderFilter,
  headerMap,
  isDenied,
  headerValues,
  listedValues,
  optionalHeader,
  parseCredentials,
  parseLastEventId,
  parseRequestName,
} from './util/headers.js';
export type {
  GatewayProcess,
  LogFactory,
  RunOptions,
  SettingsSource,
} from './runFromSettings.js';
export { runFromSettings } from './runFromSettings.js';
export { ADDRESS_PATTERN, parseAddress } from './util/parseAddress.js';
export { machineOf } from '@jujubecroft/http-server';
export type {
  DocumentParseResult,
  ValidationIssue,
} from './util/parseDocument.js';
export { parseDocument } from './util/parseDocument.js';
export { fromReplicaFields, toReplicaFields } from './state/gatewayState.js';
