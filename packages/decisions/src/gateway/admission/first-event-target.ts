import { z } from 'zod';

import type { Route } from '@jujubecroft/types';

import { createPolicyUnit } from '../../policies/createPolicyUnit.js';
import type { GatewayRequest } from '../BackendLoad.js';
import type { GatewayBoard } from '../GatewayBoard.js';
import { callerPatienceMs } from '../callerPatience.js';
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

/**
 * Whether no other route of its service is less urgent.
 *
 * Guards against turning short, urgent requests away for an end that is a little
 * uncertain while long, less urgent ones begin: it shows as one in six of the
 * urgent ones that get nothing for seconds. The least urgent make room first.
 */
function isLeastUrgent(board: GatewayBoard, route: Route): boolean {
  const services = new Set(route.shares.map(({ service }) => service));
  return !board.table?.cfg.routes.some(
    other =>
      other.kind === 'streaming' &&
      other.priority > route.priority &&
      other.shares.some(({ service }) => services.has(service)),
  );
}

function createFirstEventTarget(
  board: GatewayBoard,
  options: FirstEventTargetOptions,
): GatewayAdmission {
  // A caller that came back as told is not sent away again while it can be served
  // at all, and the most urgent requests never are.
  const isKept = ({ priority, cameBack }: GatewayRequest): boolean =>
    priority === 0 || cameBack;

  // What is late steps behind the others at its replica, so it is let in as long
  // as its caller is likely to wait for it: turned away, it would come back and be
  // late all the same.
  const allowedFor = (request: GatewayRequest, leftMs: number): number => {
    const withinMs = options.lateShare * leftMs;
    const patienceMs = options.patienceShare * callerPatienceMs(request.route);
    return request.priority === 0 ? withinMs : Math.min(withinMs, patienceMs);
  };

  return (request, best) => {
    const nowMs = board.clock();
    const leftMs = request.deadlineMs - nowMs;
    const spentMs = nowMs - request.arrivedMs;
    const allowedMs = allowedFor(request, leftMs);
    const predictedMs = spentMs + best.predictedMs;
    // A replica that reads prompts without a break starts new streams in time
    // and finishes none: every token waits for the next part of a prompt.
    const wholeShare =
      isKept(request) || !isLeastUrgent(board, request.route)
        ? options.lateWholeShare
        : options.wholeShare;
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
      admit: finishes && predictedMs <= allowedMs,
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
