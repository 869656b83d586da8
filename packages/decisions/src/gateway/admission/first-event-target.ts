import { z } from 'zod';

import { createPolicyUnit } from '../../policies/createPolicyUnit.js';
import type { GatewayRequest } from '../BackendLoad.js';
import type { GatewayBoard } from '../GatewayBoard.js';
import type { GatewayAdmission } from './GatewayAdmission.js';

interface FirstEventTargetOptions {
  /** Share of the latency target that the prediction may use up. */
  readonly margin: number;
  /** Share of the time left in which the whole answer should have come. */
  readonly wholeShare: number;
  /** The same for requests that are served late rather than turned away. */
  readonly lateWholeShare: number;
  /** Time after which a replica that reads without a break has caught up. */
  readonly paceRetryMs: number;
  /** Share of the time left that a request which came back may wait. */
  readonly lateShare: number;
  /** Part of the allowed time to which the backlog should fall before a return. */
  readonly returnShare: number;
  readonly minRetryAfterMs: number;
  /** Share of the time left after which a caller no longer follows the advice. */
  readonly maxRetryShare: number;
}

function createFirstEventTarget(
  board: GatewayBoard,
  options: FirstEventTargetOptions,
): GatewayAdmission {
  // The most urgent requests are served late rather than turned away, and a
  // caller that came back as told is not sent away again while it can be served
  // at all.
  const isKept = ({ priority, cameBack }: GatewayRequest): boolean =>
    priority === 0 || cameBack;

  const allowedFor = (request: GatewayRequest, leftMs: number): number =>
    isKept(request)
      ? options.lateShare * leftMs
      : options.margin * request.route.latencyTargetMs;

  return (request, best) => {
    const nowMs = board.clock();
    const leftMs = request.deadlineMs - nowMs;
    const spentMs = nowMs - request.arrivedMs;
    const allowedMs = allowedFor(request, leftMs);
    const predictedMs = spentMs + best.predictedMs;
    // A replica that reads prompts without a break starts new streams in time
    // and finishes none: every token waits for the next part of a prompt.
    const wholeShare = isKept(request)
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

/** Turns away at once what is predicted to miss its target. */
export const firstEventTarget = createPolicyUnit<
  FirstEventTargetOptions,
  GatewayAdmission,
  GatewayBoard
>({
  name: 'first-event-target',
  description:
    'Turns away at once what is predicted to miss its target, with a time to come back when there is room; the most urgent requests and those that came back are served late instead.',
  schema: z.object({
    margin: z.number().positive().default(0.95),
    wholeShare: z.number().positive().max(1).default(0.7),
    lateWholeShare: z.number().positive().default(1),
    paceRetryMs: z.number().positive().default(3000),
    lateShare: z.number().positive().max(1).default(0.6),
    returnShare: z.number().min(0).max(1).default(0.5),
    minRetryAfterMs: z.number().positive().default(300),
    maxRetryShare: z.number().positive().max(1).default(0.32),
  }),
  create: createFirstEventTarget,
});
