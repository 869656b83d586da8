import * as z from 'zod';

import { createPolicyUnit } from '../../policies/createPolicyUnit.js';
import type { GatewayRequest } from '../BackendLoad.js';
import { callerPatienceMs } from '../callerPatience.js';
import { promptSizeAllowanceMs } from '../promptSizeAllowanceMs.js';
import type { GatewayBoard } from '../GatewayBoard.js';
import type { GatewayAdmission } from './GatewayAdmission.js';
import type { HeadroomOptions } from './createHeadroomCheck.js';
import { createHeadroomCheck } from './createHeadroomCheck.js';
import { urgencyBounds } from './urgencyBounds.js';

interface FirstEventTargetOptions extends HeadroomOptions {
  /**
   * Share of the remaining time within which the complete answer should have
   * come, for the least urgent requests on their first try.
   */
  readonly wholeShare: number;
  /**
   * Retry delay before jitter, in milliseconds, for requests that would not end
   * in time. After this time, a replica that reads prompts without a break has
   * caught up.
   */
  readonly paceRetryMs: number;
  /**
   * Share of the allowed time to which the predicted wait should have fallen
   * before a caller retries.
   */
  readonly returnShare: number;
  /** Shortest retry delay, in milliseconds. */
  readonly minRetryAfterMs: number;
}

/** Share of a caller's patience that a predicted wait may take up. */
const MAX_PATIENCE_SHARE = 0.9;

function createFirstEventTarget(
  board: GatewayBoard,
  options: FirstEventTargetOptions,
): GatewayAdmission {
  const bounds = urgencyBounds(board, options);
  const hasHeadroom = createHeadroomCheck(board, options);

  /**
   * Longest wait worth admitting a request of any size for; after a longer one
   * the caller would have left.
   */
  const feasibleWaitMs = ({ route }: GatewayRequest, leftMs: number): number =>
    MAX_PATIENCE_SHARE * Math.min(leftMs, callerPatienceMs(route));

  return (request, best) => {
    const nowMs = board.clock();
    const leftMs = request.deadlineMs - nowMs;
    const waitedMs = nowMs - request.arrivedMs;
    const { allowedMs: baseAllowedMs, isLeastUrgent } = bounds(request, leftMs);
    const sizeAllowanceMs = promptSizeAllowanceMs(board, request, best);
    const maxAllowedMs = Math.max(
      baseAllowedMs,
      feasibleWaitMs(request, leftMs),
    );
    const allowedMs = Math.min(baseAllowedMs + sizeAllowanceMs, maxAllowedMs);
    const predictedMs = waitedMs + best.predictedMs;
    // A replica that reads prompts without a break starts new streams in time
    // but finishes none, because every token waits for the next part of a
    // prompt. Where it is uncertain whether answers end in time, the least
    // urgent requests are refused first. Callers that retried as advised get
    // the wider bound, so that they are not turned away again.
    const isShedFirst = isLeastUrgent && !request.isCallerRetry;
    const wholeShare = isShedFirst
      ? options.wholeShare
      : options.lateWholeShare;
    const baseAllowedWholeMs = wholeShare * leftMs;
    const allowedWholeMs = Math.min(
      baseAllowedWholeMs + sizeAllowanceMs,
      Math.max(baseAllowedWholeMs, leftMs),
    );
    const finishesInTime = best.predictedWholeMs <= allowedWholeMs;
    const excessMs = finishesInTime
      ? predictedMs - options.returnShare * allowedMs
      : options.paceRetryMs;
    // Jitter keeps callers that were turned away together from retrying
    // together.
    const jitteredMs = excessMs * (0.5 + board.random());
    const retryAfterMs = Math.min(
      options.maxRetryShare * leftMs,
      Math.max(options.minRetryAfterMs, jitteredMs),
    );
    return {
      admit:
        finishesInTime &&
        predictedMs <= allowedMs &&
        hasHeadroom(request, best.load),
      predictedMs,
      allowedMs,
      predictedWholeMs: best.predictedWholeMs,
      allowedWholeMs,
      retryAfterMs,
    };
  };
}

/** Refuses requests at once that would not be served in time. */
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
