import type { RoutedService } from '@jujubecroft/types';

import type { BackendLoad, GatewayRequest } from '../BackendLoad.js';
import type { GatewayBoard } from '../GatewayBoard.js';
import { estimatesOf } from '../GatewayBoard.js';
import type { RouteClass } from '../PriorityOrder.js';
import { firstEventMs } from '../firstEventMs.js';
import { requestRank } from '../requestRank.js';
import type { UrgencyOptions, RequestKind } from './urgencyBounds.js';
import { urgencyBounds } from './urgencyBounds.js';

/** Bounds that decide whether more urgent requests would be admitted. */
export interface HeadroomOptions extends UrgencyOptions {
  /**
   * Share of the remaining time within which the complete answer should have
   * come, for retried requests and for all but the least urgent.
   */
  readonly lateWholeShare: number;
  /**
   * Largest retry delay, as a share of the remaining time; callers that are
   * asked to wait longer don't comply.
   */
  readonly maxRetryShare: number;
}

/**
 * Whether a request leaves a replica enough headroom for more urgent requests.
 */
type HeadroomCheck = (request: GatewayRequest, load: BackendLoad) => boolean;

/**
 * Expected wait for the first event of a request of usual size at a replica, in
 * milliseconds.
 */
function expectedWaitMs(
  board: GatewayBoard,
  load: BackendLoad,
  { route, service, priority }: RequestKind,
  urgency: 'deferred' | 'new',
): number {
  const { engine } = estimatesOf(board, service.id);
  const rank = requestRank(board, { service, priority }, urgency);
  const tokens =
    load.unreadTokensAhead(rank) + board.demand.meanAdmittedTokens(route.id);
  const isDeferred = urgency === 'deferred';
  return firstEventMs(
    engine,
    load,
    { priority, isDeferred, tokens },
    board.speeds.factorOf(load),
  );
}

/**
 * Creates a check that refuses a request where more urgent requests with
 * shorter answers would be refused.
 *
 * Guards against short urgent requests being refused while long, less urgent
 * ones are admitted: each route's bounds follow from its own targets, and those
 * of long requests are wider. Each instance applies the check by itself,
 * whatever it knows of the other instances.
 *
 * @param board - the blackboard
 * @param options - bounds of the urgent requests
 * @returns a check of whether a request leaves a replica headroom for urgent
 *   ones
 */
export function createHeadroomCheck(
  board: GatewayBoard,
  options: HeadroomOptions,
): HeadroomCheck {
  const bounds = urgencyBounds(board, options);

  /**
   * Whether an urgent request would be admitted at a replica when it retries
   * after one refusal.
   */
  const wouldAdmit = (
    service: RoutedService,
    { route, position }: RouteClass,
    pieces: number,
    load: BackendLoad,
  ): boolean => {
    const urgent = { route, service, priority: position };
    const newWaitMs = expectedWaitMs(board, load, urgent, 'new');
    const isLate = newWaitMs > route.latencyTargetMs;
    const waitMs = isLate
      ? expectedWaitMs(board, load, urgent, 'deferred')
      : newWaitMs;
    const leftMs = (1 - options.maxRetryShare) * route.timeoutMs;
    const streamMs = pieces * board.speeds.intervalMs(load, route.id);
    return (
      waitMs <= bounds(urgent, leftMs).allowedMs &&
      waitMs + streamMs <= options.lateWholeShare * leftMs
    );
  };

  return ({ service, route, priority }, load) => {
    const { lengths, table } = board;
    const ownPieces = lengths.meanOrDefault(route.id);
    const moreUrgent = table?.priorities(service.id).before(priority) ?? [];
    // Routes that nobody calls have no known answer length and reserve no
    // headroom.
    return moreUrgent.every(other => {
      const pieces = lengths.observedMean(other.route.id);
      return (
        pieces === null ||
        pieces >= ownPieces ||
        wouldAdmit(service, other, pieces, load)
      );
    });
  };
}
