import type { LogLevel } from '@jujubecroft/events';
import type { DutySettings, RetryBudgetRules } from '@jujubecroft/decisions';
import type { MachineLimits } from '@jujubecroft/http-server';
import type { FailureDomainId, InstanceId } from '@jujubecroft/types';

/** Address on which a server listens. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Settings of one instance of the gateway. */
export interface GatewaySettings {
  readonly instance: InstanceId;
  readonly failureDomain: FailureDomainId;
  /** Address for callers. */
  readonly callers: ListenAddress;
  /** Address for readiness checks; null if the instance does not serve them. */
  readonly readiness: ListenAddress | null;
  /**
   * Address for the list of instances; null if the instance does not serve it.
   */
  readonly directory: ListenAddress | null;
  /** Address for other instances. */
  readonly peers: ListenAddress;
  /**
   * Address at which other instances reach this one; differs from `peers`
   * behind a forwarder.
   */
  readonly peerAddress: string;
  /** Address for metrics; null if the instance does not serve them. */
  readonly metrics: ListenAddress | null;
  /** Addresses of instances to contact first; may be outdated. */
  readonly seeds: readonly string[];
  readonly retryBudget: RetryBudgetRules;
  /** Duties that one instance performs for all; null if there are none. */
  readonly duties: DutySettings | null;
  /**
   * Whether instances divide capacity among organisations while it is short;
   * false if omitted.
   */
  readonly dividesCapacity?: boolean;
  /**
   * Time within which changes of configuration and replicas must take effect,
   * in milliseconds.
   */
  readonly freshWithinMs: number;
  /** Interval at which backend servers renew their entries, in milliseconds. */
  readonly heartbeatMs: number;
  /**
   * Time from the request to stop until the process is killed, in milliseconds.
   */
  readonly graceMs: number;
  /** Longest time for which callers may cache addresses, in milliseconds. */
  readonly maxAddressAgeMs: number;
  /** Resources of the machine; `DEFAULT_MACHINE` if omitted. */
  readonly machine?: MachineLimits;
  readonly logLevel: LogLevel;
}
