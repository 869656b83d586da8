import type { GatewayRequest } from '../BackendLoad.js';

/**
 * Times that decide which requests an instance admits during a graceful
 * shutdown, on the local clock.
 */
export interface StopPlan {
  /**
   * From this time on, only requests whose time limit ends by `untilMs` are
   * admitted.
   */
  readonly strictFromMs: number;
  /** Time by which every request must have ended. */
  readonly untilMs: number;
}

/** Factor by which an answer may take longer than predicted. */
const DURATION_MARGIN = 1.6;

/**
 * Whether a request could still be running when its instance shuts down.
 *
 * Guards against cutting a stream that arrived after the shutdown was
 * requested, while callers still used this instance's address; refused at once,
 * the request runs on another instance. At first the prediction decides. Later,
 * when callers have had time to learn of the shutdown, only the time limit
 * decides, because streams were seen to take over 1.6 times their prediction
 * and to be cut milliseconds before their end.
 *
 * @param request - not sent yet
 * @param predictedWholeMs - predicted time until the answer is complete, in
 *   milliseconds
 * @param nowMs - present time on the local clock
 * @param plan - times of the shutdown; null while none is requested
 * @returns true if the request should be refused
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
    : nowMs + DURATION_MARGIN * predictedWholeMs > plan.untilMs;
}
