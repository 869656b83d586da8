import type { RoutedService } from '@jujubecroft/types';

import type { BackendLoad, GatewayRequest } from '../BackendLoad.js';
import type { GatewayBoard } from '../GatewayBoard.js';
import { learningOf } from '../GatewayBoard.js';
import type { RouteClass } from '../PriorityOrder.js';
import { firstEventMs } from '../firstEventMs.js';
import { requestRank } from '../requestRank.js';
import type { UrgencyOptions, UsualRequest } from './urgencyBounds.js';
import { urgencyBounds } from './urgencyBounds.js';

/** What decides whether urgent requests would be let in. */
export interface RoomOptions extends UrgencyOptions {
  /**
   * Share of the time left in which the whole answer should have come, for
   * requests that came back and all but the least urgent.
   */
  readonly lateWholeShare: number;
  /** Share of the time left after which a caller no longer follows the advice. */
  readonly maxRetryShare: number;
}

/** Whether a request may go to a replica, for the sake of more urgent ones. */
type LeavesRoom = (request: GatewayRequest, load: BackendLoad) => boolean;

/** Expected wait for a first event at a replica, for a request of usual size. */
function waitAt(
  board: GatewayBoard,
  load: BackendLoad,
  { route, service, priority }: UsualRequest,
  urgency: 'deferred' | 'new',
): number {
  const { engine } = learningOf(board, service.id);
  const rank = requestRank(board, { service, priority }, urgency);
  const tokens = load.unreadAhead(rank) + board.demand.meanTokens(route.id);
  const isDeferred = urgency === 'deferred';
  return firstEventMs(engine, load, { priority, isDeferred, tokens });
}

/**
 * Keeps larger, less urgent requests out where urgent ones would be refused.
 *
 * What would be refused to a request that is more urgent and has a shorter answer
 * is refused to this one too. Guards against short urgent requests that get
 * nothing while long ones begin: each has bounds by its own targets, and those of
 * the long ones are wider. It holds at every instance by itself, whatever that
 * knows of the others.
 *
 * @param board - the blackboard
 * @param options - bounds of the urgent requests
 * @returns whether a request leaves room for urgent ones at a replica
 */
export function createLeavesRoom(
  board: GatewayBoard,
  options: RoomOptions,
): LeavesRoom {
  const bounds = urgencyBounds(board, options);

  /** Whether a request that was refused once would be let in at a replica. */
  const wouldServe = (
    service: RoutedService,
    { route, place }: RouteClass,
    pieces: number,
    load: BackendLoad,
  ): boolean => {
    const urgent = { route, service, priority: place };
    const newMs = waitAt(board, load, urgent, 'new');
    const isLate = newMs > route.latencyTargetMs;
    const waitMs = isLate ? waitAt(board, load, urgent, 'deferred') : newMs;
    const leftMs = (1 - options.maxRetryShare) * route.timeoutMs;
    return (
      waitMs <= bounds(urgent, leftMs).allowedMs &&
      waitMs + pieces * load.paceMs <= options.lateWholeShare * leftMs
    );
  };

  return ({ service, route, priority }, load) => {
    const { lengths, table } = board;
    const own = lengths.usual(route.id);
    const moreUrgent = table?.priorities(service.id).before(priority) ?? [];
    // Routes that nobody calls keep nobody out.
    return moreUrgent.every(other => {
      const pieces = lengths.known(other.route.id);
      return (
        pieces === null ||
        pieces >= own ||
        wouldServe(service, other, pieces, load)
      );
    });
  };
}
