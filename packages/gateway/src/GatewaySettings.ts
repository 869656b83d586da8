import type { LogLevel } from '@jujubecroft/events';
import type { DutySettings, RetryBudgetRules } from '@jujubecroft/decisions';
import type { FailureDomainId, InstanceId } from '@jujubecroft/types';

/** Where a server listens. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Settings of one instance of the gateway. */
export interface GatewaySettings {
  readonly instance: InstanceId;
  readonly failureDomain: FailureDomainId;
  readonly callers: ListenAddress;
  /** Null where the instance doesn't serve it. */
  readonly readiness: ListenAddress | null;
  readonly directory: ListenAddress | null;
  /** For other instances. */
  readonly peers: ListenAddress;
  /** Where other instances reach this one; differs behind a forwarder. */
  readonly peerAddress: string;
  readonly metrics: ListenAddress | null;
  /** Other instances that may be tried first; may be stale. */
  readonly seeds: readonly string[];
  readonly retryBudget: RetryBudgetRules;
  /** Null where there are no duties that one instance does for all. */
  readonly duties: DutySettings | null;
  /** Time in which changes of configuration and replicas must be in force. */
  readonly freshWithinMs: number;
  /** Time from a request to stop until the process is ended, in milliseconds. */
  readonly graceMs: number;
  /** Longest time for which callers may keep addresses, in milliseconds. */
  readonly maxAddressAgeMs: number;
  readonly logLevel: LogLevel;
}
