import type { GatewayRequest } from '../BackendLoad.js';

/** When an instance that was asked to stop takes what. */
export interface StopPlan {
  /** From then on only what must end in time is let in. */
  readonly strictFromMs: number;
  /** When everything must have ended. */
  readonly untilMs: number;
}

/** Answers may take this much longer than predicted. */
const PATIENCE = 1.6;

/**
 * Whether a request would run longer than the instance that carries it.
 *
 * Guards against cutting a stream that came after a stop was asked for, while
 * callers still held this address; turned away at once it runs elsewhere. At
 * first the prediction decides. Later, when callers have had time to learn of the
 * stop, only the time limit does, as streams were seen to take over 1.6 times
 * their prediction and to be cut milliseconds before their end.
 *
 * @param request - not sent yet
 * @param predictedWholeMs - expected time to the end of its answer
 * @param nowMs - on the local clock
 * @param plan - of the stop; null while the instance runs on
 */
export function outlastsStop(
  request: Pick<GatewayRequest, 'deadlineMs'>,
  predictedWholeMs: number,
  nowMs: number,
  plan: StopPlan | null,
): boolean {
  if (!plan) {
    return false;
  }
  return nowMs >= plan.strictFromMs
    ? request.deadlineMs > plan.untilMs
    : nowMs + PATIENCE * predictedWholeMs > plan.untilMs;
}
