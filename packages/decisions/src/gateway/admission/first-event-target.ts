import { z } from 'zod';

import type { RoutedService, Route } from '@jujubecroft/types';

import { createPolicyUnit } from '../../policies/createPolicyUnit.js';
import type { BackendLoad, GatewayRequest } from '../BackendLoad.js';
import type { GatewayBoard } from '../GatewayBoard.js';
import { learningOf } from '../GatewayBoard.js';
import type { RouteClass } from '../PriorityOrder.js';
import { callerPatienceMs } from '../callerPatience.js';
import { requestRank } from '../requestRank.js';
import type { GatewayAdmission } from './GatewayAdmission.js';

interface FirstEventTargetOptions {
  /** Share of the time left in which the whole answer should have come. */
  readonly wholeShare: number;
  /** The same for requests that came back, and all but the least urgent. */
  readonly lateWholeShare: number;
  /** Time after which a replica that reads without a break has caught up. */
  readonly paceRetryMs: number;
  /** Share of the time left in which a first event should come. */
  readonly lateShare: number;
  /** Share of the time for which callers wait for a first event at all. */
  readonly patienceShare: number;
  /** Part of the allowed time to which the backlog should fall before a return. */
  readonly returnShare: number;
  readonly minRetryAfterMs: number;
  /** Share of the time left after which a caller no longer follows the advice. */
  readonly maxRetryShare: number;
}

/** Where a request stands among those of its service. */
interface Standing {
  /** Whether others are less urgent, and none more. */
  readonly isMostUrgent: boolean;
  /** Whether none is less urgent. */
  readonly isLeastUrgent: boolean;
}

/** A request of which only its kind is known. */
type UsualRequest = Pick<GatewayRequest, 'priority' | 'route' | 'service'>;

function standingOf(
  { table }: GatewayBoard,
  { service, priority }: Pick<GatewayRequest, 'priority' | 'service'>,
): Standing {
  const last = (table?.priorities(service.id).count ?? 1) - 1;
  return {
    isMostUrgent: priority === 0 && last > 0,
    isLeastUrgent: priority >= last,
  };
}

function createFirstEventTarget(
  board: GatewayBoard,
  options: FirstEventTargetOptions,
): GatewayAdmission {
  // What is late steps behind the others at its replica, so it is let in as long
  // as its caller is likely to wait for it: turned away, it would come back and be
  // late all the same. The most urgent are served late rather than not.
  const allowedFor = (
    route: Route,
    { isMostUrgent }: Standing,
    leftMs: number,
  ): number => {
    const withinMs = options.lateShare * leftMs;
    const patienceMs = options.patienceShare * callerPatienceMs(route);
    return isMostUrgent ? withinMs : Math.min(withinMs, patienceMs);
  };

  /** Expected wait for a first event at a replica, for a request of usual size. */
  const waitAt = (
    load: BackendLoad,
    { route, service, priority }: UsualRequest,
    urgency: 'deferred' | 'new',
  ): number => {
    const { engine } = learningOf(board, service.id);
    const rank = requestRank(board, { service, priority }, urgency);
    const tokens = load.unreadAhead(rank) + board.demand.meanTokens(route.id);
    const stretch =
      urgency === 'deferred' ? engine.deferredStretch(priority) : 1;
    const readMs = tokens / engine.queueTokensPerMs(priority);
    return engine.baseMs + load.slownessFor(priority) * stretch * readMs;
  };

  /** Whether a request that was refused once would be let in at a replica. */
  const wouldServe = (
    service: RoutedService,
    { route, place }: RouteClass,
    load: BackendLoad,
  ): boolean => {
    const urgent = { route, service, priority: place };
    const newMs = waitAt(load, urgent, 'new');
    const isLate = newMs > route.latencyTargetMs;
    const waitMs = isLate ? waitAt(load, urgent, 'deferred') : newMs;
    const leftMs = (1 - options.maxRetryShare) * route.timeoutMs;
    const wholeMs = waitMs + board.lengths.usual(route.id) * load.paceMs;
    return (
      waitMs <= allowedFor(route, standingOf(board, urgent), leftMs) &&
      wholeMs <= options.lateWholeShare * leftMs
    );
  };

  // What would be refused to a request that is more urgent and asks for less is
  // refused to this one too. Guards against short urgent requests that get nothing
  // while long ones begin: each has bounds by its own targets, and those of the
  // long ones are wider. It holds at every instance by itself, whatever
  // it knows of the others.
  const leavesRoom = (
    { service, route, priority }: GatewayRequest,
    load: BackendLoad,
  ): boolean => {
    const { lengths, table } = board;
    const own = lengths.usual(route.id);
    const moreUrgent = table?.priorities(service.id).before(priority) ?? [];
    return moreUrgent
      .filter(({ route: other }) => lengths.usual(other.id) < own)
      .every(other => wouldServe(service, other, load));
  };

  return (request, best) => {
    const nowMs = board.clock();
    const leftMs = request.deadlineMs - nowMs;
    const spentMs = nowMs - request.arrivedMs;
    const standing = standingOf(board, request);
    const allowedMs = allowedFor(request.route, standing, leftMs);
    const predictedMs = spentMs + best.predictedMs;
    // A replica that reads prompts without a break starts new streams in time
    // and finishes none: every token waits for the next part of a prompt. Where
    // the end is uncertain the least urgent make room first, and a caller that came
    // back as told is not sent away again.
    const isFirstToYield = standing.isLeastUrgent && !request.cameBack;
    const wholeShare = isFirstToYield
      ? options.wholeShare
      : options.lateWholeShare;
    const allowedWholeMs = wholeShare * leftMs;
    const finishes = best.predictedWholeMs <= allowedWholeMs;
    const overMs = finishes
      ? predictedMs - options.returnShare * allowedMs
      : options.paceRetryMs;
    // Returns are spread, so that those turned away together don't come back
    // together.
    const spreadMs = overMs * (0.5 + board.random());
    const retryAfterMs = Math.min(
      options.maxRetryShare * leftMs,
      Math.max(options.minRetryAfterMs, spreadMs),
    );
    return {
      admit:
        finishes && predictedMs <= allowedMs && leavesRoom(request, best.load),
      predictedMs,
      allowedMs,
      predictedWholeMs: best.predictedWholeMs,
      allowedWholeMs,
      retryAfterMs,
    };
  };
}

/** Turns away at once what would not be served. */
export const firstEventTarget = createPolicyUnit<
  FirstEventTargetOptions,
  GatewayAdmission,
  GatewayBoard
>({
  name: 'first-event-target',
  description:
    'Turns away at once what its caller would not wait for, or what would not end in time, with a time to come back when there is room; what is merely late is served late.',
  schema: z.object({
    wholeShare: z.number().positive().max(1).default(0.7),
    lateWholeShare: z.number().positive().default(1),
    paceRetryMs: z.number().positive().default(3000),
    lateShare: z.number().positive().max(1).default(0.6),
    patienceShare: z.number().positive().max(1).default(0.6),
    returnShare: z.number().min(0).max(1).default(0.5),
    minRetryAfterMs: z.number().positive().default(300),
    maxRetryShare: z.number().positive().max(1).default(0.32),
  }),
  create: createFirstEventTarget,
});
