import type {
  GatewayAttempt,
  GatewayRequest,
  PlacedCandidate,
  Recovery,
  WithdrawReason,
} from '@jujubecroft/decisions';
import { hasResumableStreams, outlastsStop } from '@jujubecroft/decisions';
import type { ResultCodeId } from '@jujubecroft/types';

import type { ExecutionRecord } from '../execution/ExecutionRecord.js';
import type { GatewayContext } from '../GatewayContext.js';
import { AttemptRace } from './AttemptRace.js';
import type { CallerResponse } from './CallerResponse.js';
import type { IncomingRequest } from './IncomingRequest.js';
import type { LogFields } from './logFields.js';
import {
  admissionFields,
  crashFields,
  queueFields,
  shareFields,
} from './logFields.js';
import {
  excludedReplicas,
  nextReplicas,
  returnReplicas,
} from './nextReplicas.js';
import { placeWhenViewUsable } from './placeWhenViewUsable.js';
import { RequestFinisher } from './RequestFinisher.js';
import type { RequestProgress } from './RequestRecorder.js';
import { RequestRecorder } from './RequestRecorder.js';
import type { RequestState } from './RequestState.js';
import { ResponseTimings } from './ResponseTimings.js';
import { SseEventBuffer } from './SseEventBuffer.js';

/**
 * Retry delay sent by a stopping instance; short, since callers can reach
 * another instance at once.
 */
const STOPPING_INSTANCE_RETRY_MS = 50;

/**
 * Forwards one request to a replica, and to further replicas if an attempt
 * fails.
 */
export class ForwardedRequest {
  readonly #state: RequestState;
  readonly #race: AttemptRace;
  /** Why no further attempt may follow; null while one may. */
  #endReason: WithdrawReason | null = null;

  constructor(
    context: GatewayContext,
    request: GatewayRequest,
    call: IncomingRequest,
    execution: ExecutionRecord,
    response: CallerResponse,
  ) {
    const recorder = new RequestRecorder(context, request, response);
    this.#state = {
      context,
      request,
      call,
      execution,
      response,
      recorder,
      finisher: new RequestFinisher(
        context.dialect,
        request.id,
        response,
        execution,
        recorder,
      ),
      timings: new ResponseTimings(context.clock),
      events: hasResumableStreams(request.route)
        ? new SseEventBuffer(call.head.lastEventId, context.responseBudget)
        : null,
    };
    this.#race = new AttemptRace(this.#state);
  }

  /** Forwards the request until the caller has its response or has left. */
  async run(): Promise<void> {
    const { request, context, events } = this.#state;
    const timer = setTimeout(
      () => {
        this.withdraw('timeLimit');
      },
      Math.max(0, request.deadlineMs - context.clock()),
    );
    try {
      await this.#runAttempts();
    } finally {
      clearTimeout(timer);
      events?.flush();
    }
  }

  /**
   * Aborts the attempts in progress and ends the request.
   *
   * @param reason - decides what the caller gets
   */
  withdraw(reason: 'callerLeft' | 'crashesBackends' | 'timeLimit'): void {
    this.#endReason = reason;
    this.#state.recorder.withdrawn(null, reason);
    this.#race.withdraw(reason);
  }

  /**
   * Leaves an attempt at a run that seems to have been replaced by another one. Unless that is
   * certain, the attempt is given up only for one at another replica.
   */
  leave(attempt: GatewayAttempt): void {
    if (this.#state.context.router.hasRunEnded(attempt)) {
      this.#race.withdrawAttempt(attempt, 'replicaRestarted');
    } else {
      this.move(attempt);
    }
  }

  /**
   * Begins a second attempt at another replica, if a place and a retry for it can be
   * reserved. Otherwise the request stays where it is.
   *
   * @param attempt - the attempt in progress, whose replica is silent
   */
  move(attempt: GatewayAttempt): void {
    const { context, request, execution, response } = this.#state;
    const { router, lease } = context;
    // A caller that doesn't read makes its replica seem silent. An answer that no other
    // replica can continue is better late than cut.
    const mayMove =
      this.#endReason === null &&
      this.#race.acceptsSecond &&
      this.#canContinue &&
      !response.waitsForCaller &&
      !response.isClosed &&
      lease.isUsable;
    if (!mayMove) {
      return;
    }
    const { sent, unsent, replicas } = execution;
    const number = sent + unsent + 1;
    // An attempt at a replica that has run the request adds none.
    const sentNumber = Math.min(replicas + 1, request.route.maxAttempts);
    const move = router.reserveMove(
      attempt,
      { number, sentNumber },
      excludedReplicas(this.#state),
      placed => this.#race.mayMoveTo(placed),
    );
    if (move) {
      this.#race.runSecond(
        router.beginAttempt(request, move.placed, number, sentNumber),
        move.candidates,
      );
    }
  }

  /** Whether another replica could write what follows the answer so far. */
  get #canContinue(): boolean {
    const { response, events } = this.#state;
    return !response.hasStarted || events?.isContinuable === true;
  }

  /** Aborts the response to the caller. */
  cutResponse(): void {
    this.#state.response.cut();
  }

  /** Whether an attempt is in progress. */
  isRunning(attempt: GatewayAttempt): boolean {
    return this.#race.has(attempt);
  }

  async #runAttempts(): Promise<void> {
    let continues = true;
    while (continues) {
      continues = await this.#placeAndSend();
    }
  }

  /**
   * Places the request and runs one attempt.
   *
   * @returns whether another attempt follows
   */
  async #placeAndSend(): Promise<boolean> {
    const { context, request, execution, recorder } = this.#state;
    const { router } = context;
    if (this.#finishIfEnded()) {
      return false;
    }
    const view = await context.lease.obtain();
    // Its end may have been decided while it waited for a current view.
    if (this.#finishIfEnded()) {
      return false;
    }
    const excluded = excludedReplicas(this.#state);
    const decision = placeWhenViewUsable(context, view, request, excluded);
    if (decision.kind === 'send' && this.#outlastsInstance(decision.placed)) {
      this.#finishWithCode('instanceLeaving', STOPPING_INSTANCE_RETRY_MS, {
        predictedMs: Math.round(decision.placed.predictedWholeMs),
      });
      return false;
    }
    if (decision.kind === 'refuse') {
      if (decision.share) {
        recorder.heldBack();
      }
      this.#finishWithCode(decision.code, decision.retryAfterMs, {
        ...admissionFields(decision.verdict),
        ...shareFields(decision.share),
        ...queueFields(decision.best, request),
        ...crashFields(router.board, request),
        candidates: decision.candidates,
      });
      return false;
    }
    const { sent, unsent } = execution;
    const { attempt, result, reused } = await this.#race.run(
      router.beginAttempt(
        request,
        decision.placed,
        sent + unsent + 1,
        sent + 1,
      ),
      decision.candidates,
    );
    if (result.kind === 'answered') {
      recorder.answered(result.status, this.#progress);
      return false;
    }
    const recovery = router.recover(request, result, {
      sent: execution.sent,
      rejected: execution.rejected,
      unsent: execution.unsent,
      mayHaveRun: execution.mayHaveRun,
      canContinue: this.#canContinue,
      hasCandidates: () => nextReplicas(this.#state).length > 0,
      mayReturn: () => returnReplicas(this.#state).length > 0,
    });
    recorder.failed(attempt, result, recovery.kind, {
      sent: execution.sent,
      reused,
    });
    return this.#applyRecovery(recovery);
  }

  /** Finishes the request if no further attempt may follow, and returns whether it did. */
  #finishIfEnded(): boolean {
    if (this.#endReason === null) {
      return false;
    }
    const callerLeft = this.#endReason === 'callerLeft';
    this.#finishWithCode(callerLeft ? 'callerLeft' : this.#lateCode, 0, {});
    return true;
  }

  /** Result code of a request whose time has passed between two attempts. */
  get #lateCode(): ResultCodeId {
    return this.#state.execution.proveNotRun()
      ? 'notSentInTime'
      : 'backendTimeout';
  }

  /** Whether the instance would stop before the response is complete. */
  #outlastsInstance({ predictedWholeMs }: PlacedCandidate): boolean {
    const { context, request, execution } = this.#state;
    const { stopPlan, clock } = context;
    return (
      execution.sent === 0 &&
      outlastsStop(request, predictedWholeMs, clock(), stopPlan)
    );
  }

  /**
   * Acts on a recovery decision.
   *
   * @returns whether another attempt follows
   */
  #applyRecovery(recovery: Recovery): boolean {
    const { finisher, response } = this.#state;
    switch (recovery.kind) {
      case 'retry':
        if (this.#endReason !== null || response.isClosed) {
          this.#finishWithCode('callerLeft', 0, {});
          return false;
        }
        return true;
      case 'passOn':
        finisher.forwardFailure(this.#progress);
        return false;
      case 'answer':
        this.#finishWithCode(recovery.code, recovery.retryAfterMs, {});
        return false;
    }
  }

  #finishWithCode(
    code: ResultCodeId,
    retryAfterMs: number,
    facts: LogFields,
  ): void {
    const { finisher } = this.#state;
    finisher.finishWithCode(code, retryAfterMs, facts, this.#progress);
  }

  get #progress(): RequestProgress {
    const { execution, timings } = this.#state;
    return {
      sent: execution.sent,
      unsent: execution.unsent,
      firstByteMs: timings.firstByteMs,
      longestPauseMs: timings.longestPauseMs,
    };
  }
}
