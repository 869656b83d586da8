import type {
  GatewayAttempt,
  GatewayRequest,
  WithdrawReason,
} from '@jujubecroft/decisions';

import type { GatewayContext } from '../GatewayContext.js';
import type { CallerResponse } from './CallerResponse.js';
import type { LogFields } from './logFields.js';
import { configurationFields } from './logFields.js';

/** Age of a reading of the clock, in milliseconds; null where there is none. */
function ageMs(nowMs: number, atMs: number | null): number | null {
  return atMs !== null && Number.isFinite(atMs)
    ? Math.round(nowMs - atMs)
    : null;
}

/** Logs and counts the withdrawals of one request's attempts. */
export class WithdrawalRecorder {
  #lastReason: WithdrawReason | null = null;

  /**
   * @param context - shared parts of the instance
   * @param request - the request
   * @param answer - response to its caller
   */
  constructor(
    private readonly context: GatewayContext,
    private readonly request: GatewayRequest,
    private readonly answer: Pick<CallerResponse, 'bodyBytes' | 'hasStarted'>,
  ) {}

  /**
   * Records a withdrawal before anything is known of what follows.
   *
   * @param attempt - the attempt in progress; null if the request waits for one
   * @param reason - why this instance withdraws it
   */
  note(attempt: GatewayAttempt | null, reason: WithdrawReason): void {
    this.#lastReason = reason;
    if (!attempt) {
      return;
    }
    const { context, request, answer } = this;
    const { board } = context.router;
    const { load, lastByteMs, sentMs, sentNumber } = attempt;
    const service = request.service.id;
    const nowMs = context.clock();
    context.metrics.withdrawals.inc({ service, reason });
    context.log.write('attemptWithdrawn', {
      request: request.id,
      route: request.route.id,
      backendServer: load.replica.id,
      reason,
      silentMs: ageMs(nowMs, load.lastByteMs),
      attemptSilentMs: ageMs(nowMs, lastByteMs),
      runningMs: ageMs(nowMs, sentMs),
      started: answer.hasStarted,
      bodyBytes: answer.bodyBytes,
      inFlight: load.inFlight,
      budgetLeft: Math.floor(board.budget.left(service)),
      sent: sentNumber,
      maxAttempts: request.route.maxAttempts,
      leftMs: Math.round(request.deadlineMs - nowMs),
      ...configurationFields(board),
    });
  }

  /** Log field of the last withdrawal; none if there was none. */
  get lastFields(): LogFields {
    return this.#lastReason === null ? {} : { withdrawn: this.#lastReason };
  }
}
