import type { FailureDomainId, InstanceId } from '@jujubecroft/types';

/** One entry of the platform's instance list, which lags behind. */
export interface ListedInstance {
  readonly id: InstanceId;
  readonly failureDomain: FailureDomainId;
  /** Base URL for callers. */
  readonly callerAddress: string;
  /** Host and port for other instances. */
  readonly peerAddress: string;
  readonly state: 'leaving' | 'live';
}

/** The platform's list of instances. Calls may fail with `platformUnavailable`. */
export interface InstanceList {
  readonly list: () => Promise<readonly ListedInstance[]>;
}
