import type { GatewayRequest } from '../BackendLoad.js';
import type { GatewayBoard } from '../GatewayBoard.js';
import { callerPatienceMs } from '../callerPatience.js';

/** Limits on the predicted time to a first event. */
export interface UrgencyOptions {
  /** Share of the remaining time within which the first event should come. */
  readonly lateShare: number;
  /**
   * Share of the caller's patience within which the first event should come.
   */
  readonly patienceShare: number;
}

/** What requests of one kind have in common, whatever their content. */
export type RequestKind = Pick<
  GatewayRequest,
  'priority' | 'route' | 'service'
>;

/**
 * Admission bounds that follow from a request's position in the priority order.
 */
export interface UrgencyBounds {
  /**
   * Longest predicted time to the first event that is admitted, in
   * milliseconds.
   */
  readonly allowedMs: number;
  /** Whether no other request of its service is less urgent. */
  readonly isLeastUrgent: boolean;
}

/**
 * Creates a function that derives bounds from a request's position in the
 * priority order of its service.
 *
 * A replica serves late requests after those that can still be on time, so a
 * late request is admitted as long as its caller is likely to wait for it:
 * turned away, it would be retried and be late all the same. The most urgent
 * requests are served late rather than refused.
 *
 * @param board - the blackboard
 * @param options - shares of the remaining time and of the caller's patience
 * @returns a function of a request and its remaining time in milliseconds
 */
export function urgencyBounds(
  board: GatewayBoard,
  options: UrgencyOptions,
): (request: RequestKind, leftMs: number) => UrgencyBounds {
  return ({ route, service, priority }, leftMs) => {
    const lastPosition = (board.table?.priorities(service.id).count ?? 1) - 1;
    const isMostUrgent = priority === 0 && lastPosition > 0;
    const deadlineBoundMs = options.lateShare * leftMs;
    const patienceMs = options.patienceShare * callerPatienceMs(route);
    return {
      allowedMs: isMostUrgent
        ? deadlineBoundMs
        : Math.min(deadlineBoundMs, patienceMs),
      isLeastUrgent: priority >= lastPosition,
    };
  };
}
