import type { FailureDomainId, InstanceId } from '@jujubecroft/types';

/** One entry of the platform's instance list. The list lags behind the actual state. */
export interface ListedInstance {
  readonly id: InstanceId;
  readonly failureDomain: FailureDomainId;
  /** Base URL at which callers reach the instance. */
  readonly callerAddress: string;
  /** Host and port at which other instances reach it. */
  readonly peerAddress: string;
  readonly state: 'leaving' | 'live';
}

/** The platform's list of instances. Any call may fail with `platformUnavailable`. */
export interface InstanceList {
  readonly list: () => Promise<readonly ListedInstance[]>;
}
