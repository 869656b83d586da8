export { admitAny } from './admission/admit-any.js';
export type { StopPlan } from './admission/outlastsStop.js';
export { outlastsStop } from './admission/outlastsStop.js';
export type { GatewayVerdict } from './admission/GatewayAdmission.js';
export type { ObservedLength } from './AnswerLengths.js';
export type {
  BackendLoad,
  GatewayAttempt,
  GatewayRequest,
  PeerUse,
  ReportedLoad,
  OriginSearch,
  Resumption,
} from './BackendLoad.js';
export type { PartVerdict } from './crashes/parts/judgePart.js';
export type { CrashNews, CrashReport } from './crashes/crashNews.js';
export { isCrashSuspect } from './crashes/recordCrashEvidence.js';
export { CrashLedger } from './crashes/CrashLedger.js';
export { callerPatienceMs } from './callerPatience.js';
export type { ConfigurationChanges } from './configurationChanges.js';
export { applyChangeSequence } from './ConfigurationHistory.js';
export { defaultGatewayPolicies } from './defaultGatewayPolicies.js';
export type { GatewayBoard, GatewayBoardOptions } from './GatewayBoard.js';
export { createGatewayBoard } from './GatewayBoard.js';
export type { GatewayPolicies, PlacementDecision } from './placeRequest.js';
export { GatewayRouter } from './GatewayRouter.js';
export type { ViewState } from './determineViewState.js';
export { determineViewState, viewAgeMs } from './determineViewState.js';
export type { Match } from './matchRequest.js';
export type {
  RelayedLoadReport,
  ReplicaUse,
  PeerUpdate,
} from './PeerLoadTracker.js';
export {
  isReader,
  shouldQueryReader,
  rankOf,
  storeReadAgeMs,
  readersOf,
} from './readDuty.js';
export type { LimitReport } from './limits/createLimitReports.js';
export {
  createLimitReports,
  applyLimitReports,
} from './limits/createLimitReports.js';
export type { RelayEnds } from './paths/RelayPeers.js';
export { RelayPeers } from './paths/RelayPeers.js';
export type { ConnectionPlan } from './paths/ReplicaPaths.js';
export { ReplicaPaths } from './paths/ReplicaPaths.js';
export { leastBusy } from './placement/least-busy.js';
export { toleranceSplit } from './placement/tolerance-split.js';
export type { PlacedCandidate } from './placement/PlacementPolicy.js';
export type {
  AttemptResult,
  Recovery,
  WithdrawReason,
} from './recovery/AttemptResult.js';
export { isIdempotent } from './recovery/decideRecovery.js';
export type {
  ReplicaChange,
  ReplicaChanges,
  ReplicaRecord,
  ReplicaRow,
} from './ReplicaRecord.js';
export { ReplicaRegistry } from './ReplicaRegistry.js';
export type { HealthVerdict } from './ReplicaHealth.js';
export type { RetryBudgetRules } from './RetryBudget.js';
export type { RouteDemand } from './RouteDemand.js';
export { RoutingTable } from './RoutingTable.js';
export { answersPromptly } from './recovery/answersPromptly.js';
export { hasSpareRetry } from './recovery/hasSpareRetry.js';
export { isGivenUp, isSilent, mayWriteAgain } from './recovery/isGivenUp.js';
export type { SpeedClass } from './speed/ReplicaSpeed.js';
export type { SpeedReport } from './speed/speedReports.js';
export {
  applySpeedReports,
  createAllSpeedReports,
  createSpeedReports,
} from './speed/speedReports.js';
export type { OrganisationShare } from './shares/divideCapacity.js';
export type {
  OrganisationWork,
  WorkGroup,
  WorkReport,
} from './shares/WorkReport.js';
export { StoreClock } from './StoreClock.js';
export { connectionShare } from './usableCandidates.js';
export { candidatesFor } from './streams/candidatesFor.js';
export { hasResumableStreams } from './streams/hasResumableStreams.js';
export type { Keeper } from './streams/keepersOf.js';
export { keepersOf } from './streams/keepersOf.js';
export type { RecordWriterCandidate } from './streams/recordWriterFor.js';
export {
  recordWriterFor,
  writesOwnRecords,
} from './streams/recordWriterFor.js';
export { StreamBinding } from './streams/StreamBinding.js';
export type {
  StreamHistory,
  StreamObservation,
} from './streams/StreamHistory.js';
export {
  isSameHistory,
  observeStreams,
  othersLeftMs,
  parseStreamHistory,
  soleOriginFromMs,
  soleServiceFromMs,
} from './streams/StreamHistory.js';
export type {
  KnownOrigin,
  StreamOrigin,
  StreamRecord,
} from './streams/StreamRecords.js';
export { StreamRecords } from './streams/StreamRecords.js';
export type { SoleVersion } from './streams/VersionHistory.js';
export { VersionHistory } from './streams/VersionHistory.js';
