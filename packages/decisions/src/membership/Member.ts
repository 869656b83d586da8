import type { FailureDomainId, InstanceId } from '@jujubecroft/types';

/** State of an instance as seen by another one. */
export type MemberState = 'failed' | 'leaving' | 'live' | 'suspect';

/** State of one instance as spread by heartbeats. */
export interface MemberFact {
  readonly instance: InstanceId;
  readonly incarnation: number;
  readonly state: MemberState;
  readonly failureDomain: FailureDomainId;
  /** Address for callers; empty while the instance does not accept any. */
  readonly callerAddress: string;
  readonly peerAddress: string;
}

/** Content of a heartbeat: the state of its sender and facts about other instances. */
export interface HeartbeatFacts {
  readonly instance: InstanceId;
  readonly failureDomain: FailureDomainId;
  readonly callerAddress: string;
  readonly peerAddress: string;
  /** Raised by the instance to override outdated facts about itself. */
  readonly incarnation: number;
  readonly leaving: boolean;
  /** Revision of the configuration in force at the sender. */
  readonly revision: number;
  /** Requests in flight at the sender. */
  readonly inFlight: number;
  readonly facts: readonly MemberFact[];
}

/** Local view of another instance. */
export interface Member {
  readonly id: InstanceId;
  failureDomain: FailureDomainId;
  callerAddress: string;
  peerAddress: string;
  incarnation: number;
  state: MemberState;
  /** Local time of the last change of the state. */
  sinceMs: number;
  /** Local time of the last heartbeat. */
  lastHeardMs: number;
  revision: number;
  inFlight: number;
  /** Whether the platform's list of instances contains this one. */
  listed: boolean;
}
