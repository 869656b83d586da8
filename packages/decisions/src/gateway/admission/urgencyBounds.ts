import type { GatewayRequest } from '../BackendLoad.js';
import type { GatewayBoard } from '../GatewayBoard.js';
import { callerPatienceMs } from '../callerPatience.js';

/** How late a first event may be predicted. */
export interface UrgencyOptions {
  /** Share of the time left in which a first event should come. */
  readonly lateShare: number;
  /** Share of the time for which callers wait for a first event at all. */
  readonly patienceShare: number;
}

/** A request of which only its kind is known. */
export type UsualRequest = Pick<
  GatewayRequest,
  'priority' | 'route' | 'service'
>;

/** What a request's place in the order of urgency means for it. */
export interface UrgencyBounds {
  /** Longest predicted time to a first event that is let in, in milliseconds. */
  readonly allowedMs: number;
  /** Whether no other request of its service is less urgent. */
  readonly isLeastUrgent: boolean;
}

/**
 * Bounds by a request's place in the order of urgency of its service.
 *
 * What is late steps behind the others at its replica, so it is let in as long as
 * its caller is likely to wait for it: turned away, it would come back and be
 * late all the same. The most urgent are served late rather than not.
 *
 * @param board - the blackboard
 * @param options - shares of the times that count
 * @returns the bounds of a request with so many milliseconds left
 */
export function urgencyBounds(
  board: GatewayBoard,
  options: UrgencyOptions,
): (request: UsualRequest, leftMs: number) => UrgencyBounds {
  return ({ route, service, priority }, leftMs) => {
    const last = (board.table?.priorities(service.id).count ?? 1) - 1;
    const isMostUrgent = priority === 0 && last > 0;
    const withinMs = options.lateShare * leftMs;
    const patienceMs = options.patienceShare * callerPatienceMs(route);
    return {
      allowedMs: isMostUrgent ? withinMs : Math.min(withinMs, patienceMs),
      isLeastUrgent: priority >= last,
    };
  };
}
