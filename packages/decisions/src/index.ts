export type { BackendView, LoadReport } from './blackboard/BackendView.js';
export type {
  Blackboard,
  BlackboardOptions,
  CancelReason,
  DeclaredEntities,
  Clock,
  Effects,
  Placement,
  Refusal,
} from './blackboard/Blackboard.js';
export { createBlackboard } from './blackboard/Blackboard.js';
export type {
  Attempt,
  RequestRecord,
  RoutedRequest,
  Target,
} from './blackboard/RoutedRequest.js';
export type { PolicyFactory } from './createRouter.js';
export {
  createRouter,
  DEFAULT_ROUTER_OPTIONS,
  defaultPolicies,
} from './createRouter.js';
export * from './duties/index.js';
export * from './gateway/index.js';
export { LengthEstimator } from './estimators/LengthEstimator.js';
export { demandShare } from './limits/demandShare.js';
export { DemandLedger } from './limits/DemandLedger.js';
export type { Demand } from './limits/OrganisationLimits.js';
export { OrganisationLimits } from './limits/OrganisationLimits.js';
export { OwnerRing } from './limits/OwnerRing.js';
export { admitAll } from './policies/admission/admit-all.js';
export { predictive } from './policies/admission/predictive.js';
export { POLICY_CATALOGUE } from './policies/catalogue.js';
export { adaptiveLimit } from './policies/concurrency/adaptive-limit.js';
export { unlimited } from './policies/concurrency/unlimited.js';
export { firstCome } from './policies/ordering/first-come.js';
export { tieredFair } from './policies/ordering/tiered-fair.js';
export { budgetedResume } from './policies/recovery/budgeted-resume.js';
export { giveUp } from './policies/recovery/give-up.js';
export type {
  HeartbeatFacts,
  Member,
  MemberFact,
  MemberState,
} from './membership/Member.js';
export type {
  ListedMember,
  MembershipOptions,
} from './membership/Membership.js';
export { DEFAULT_MEMBERSHIP, Membership } from './membership/Membership.js';
export type {
  OutstandingProbe,
  PeerProbeOptions,
} from './membership/PeerProbes.js';
export { PeerProbes } from './membership/PeerProbes.js';
export { MemberStateTracker } from './membership/MemberStateTracker.js';
export type { AttemptFailure } from './policies/recovery/RecoveryPolicy.js';
export { leastCost } from './policies/routing/least-cost.js';
export { leastOutstanding } from './policies/routing/least-outstanding.js';
export { roundRobin } from './policies/routing/round-robin.js';
export type { RouterOptions, RouterPolicies } from './Router.js';
export { Router } from './Router.js';
export { evenSubset } from './subset/evenSubset.js';
export { poolKey } from './util/poolKey.js';
export { rotated } from './util/rotated.js';
