import type { FailureDomainId, InstanceId } from '@jujubecroft/types';

/** How an instance looks from here. */
export type MemberState = 'failed' | 'leaving' | 'live' | 'suspect';

/** A statement about an instance that spreads with heartbeats. */
export interface MemberFact {
  readonly instance: InstanceId;
  readonly incarnation: number;
  readonly state: MemberState;
  readonly failureDomain: FailureDomainId;
  /** Empty while the instance takes no callers. */
  readonly callerAddress: string;
  readonly peerAddress: string;
}

/** What an instance says of itself, with news of others. */
export interface HeartbeatFacts {
  readonly instance: InstanceId;
  readonly failureDomain: FailureDomainId;
  readonly callerAddress: string;
  readonly peerAddress: string;
  readonly incarnation: number;
  readonly leaving: boolean;
  /** Revision of the configuration in force there. */
  readonly revision: number;
  readonly inFlight: number;
  readonly facts: readonly MemberFact[];
}

/** Another instance as known here. */
export interface Member {
  readonly id: InstanceId;
  failureDomain: FailureDomainId;
  callerAddress: string;
  peerAddress: string;
  incarnation: number;
  state: MemberState;
  /** When the state last changed. */
  sinceMs: number;
  lastHeardMs: number;
  revision: number;
  inFlight: number;
  /** Whether the platform's list still names the instance. */
  listed: boolean;
}
