import type { ClientLimitReason } from './ClientAccount.js';
import type { ClientLimitListener } from './limitClients.js';

/** Time after a summary within which further closed connections are only counted. */
const QUIET_MS = 1000;

/** Connections that were closed since their clients reached a limit. */
export interface ClientLimitSummary {
  readonly limit: ClientLimitReason;
  /** Number of them since the last summary for the same limit. */
  readonly closed: number;
  /** Address of the client of the latest one. */
  readonly client: string;
  /** Number of its requests without a complete response. */
  readonly requests: number;
  /** Memory that it held, in bytes. */
  readonly heldBytes: number;
}

/**
 * Reports the connections that are closed since their clients reach a limit, once a second
 * at most for each limit.
 *
 * @param report - called with the summaries
 * @param clock - monotonic clock, in milliseconds
 * @returns a function to be called with each connection
 */
export function summariseLimits(
  report: (summary: ClientLimitSummary) => void,
  clock: () => number = () => performance.now(),
): ClientLimitListener {
  const reportedMs = new Map<ClientLimitReason, number>();
  const counts = new Map<ClientLimitReason, number>();
  return ({ address, requests, heldBytes }, limit) => {
    const closed = (counts.get(limit) ?? 0) + 1;
    const nowMs = clock();
    if (nowMs - (reportedMs.get(limit) ?? -Infinity) < QUIET_MS) {
      counts.set(limit, closed);
      return;
    }
    counts.set(limit, 0);
    reportedMs.set(limit, nowMs);
    report({ limit, closed, client: address, requests, heldBytes });
  };
}
