import type {
  AttemptResult,
  GatewayAttempt,
  GatewayRequest,
  PlacedCandidate,
  PlacementDecision,
  Recovery,
  WithdrawReason,
} from '@jujubecroft/decisions';
import {
  connectionShare,
  hasResumableStreams,
  outlastsStop,
} from '@jujubecroft/decisions';
import type { ResultCodeId } from '@jujubecroft/types';

import type { RunningExchange } from '../backends/sendAttempt.js';
import { sendAttempt } from '../backends/sendAttempt.js';
import type { ExecutionRecord } from '../execution/ExecutionRecord.js';
import type { GatewayContext } from '../GatewayContext.js';
import { headerValue } from '../util/headers.js';
import type { RelayedConnection } from '../relay/RelayedConnection.js';
import { ResponseAssembler } from './ResponseAssembler.js';
import { ResponseTimings } from './ResponseTimings.js';
import type { CallerResponse } from './CallerResponse.js';
import { checkReplicaAfter } from './checkReplicaAfter.js';
import { confirmEnd } from './confirmEnd.js';
import { endAttempt } from './endAttempt.js';
import { SseEventBuffer } from './SseEventBuffer.js';
import type { IncomingRequest } from './IncomingRequest.js';
import { movesToOtherReplica } from './movesToOtherReplica.js';
import { placeWhenViewUsable } from './placeWhenViewUsable.js';
import { RequestFinisher } from './RequestFinisher.js';
import type { LogFields } from './logFields.js';
import {
  admissionFields,
  crashFields,
  queueFields,
  shareFields,
} from './logFields.js';
import type { RequestProgress } from './RequestRecorder.js';
import { RequestRecorder } from './RequestRecorder.js';

type SendDecision = Extract<PlacementDecision, { kind: 'send' }>;

interface FinishedAttempt {
  readonly attempt: GatewayAttempt;
  readonly result: AttemptResult;
  /** Whether it used a connection that had served another request. */
  readonly reused: boolean;
}

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
  readonly #response: CallerResponse;
  readonly #recorder: RequestRecorder;
  readonly #finisher: RequestFinisher;
  readonly #sseBuffer: SseEventBuffer | null;
  #exchange: RunningExchange | null = null;
  #attempt: GatewayAttempt | null = null;
  #withdrawReason: WithdrawReason | null = null;
  readonly #timings: ResponseTimings;

  constructor(
    private readonly context: GatewayContext,
    private readonly request: GatewayRequest,
    private readonly call: IncomingRequest,
    private readonly execution: ExecutionRecord,
    answer: CallerResponse,
  ) {
    this.#response = answer;
    this.#timings = new ResponseTimings(context.clock);
    this.#recorder = new RequestRecorder(context, request, answer);
    this.#finisher = new RequestFinisher(
      context.dialect,
      request.id,
      answer,
      execution,
      this.#recorder,
    );
    this.#sseBuffer = hasResumableStreams(request.route)
      ? new SseEventBuffer(call.head.lastEventId, context.responseBudget)
      : null;
  }

  /** Forwards the request until the caller has its response or has left. */
  async run(): Promise<void> {
    const timer = setTimeout(
      () => {
        this.withdraw('timeLimit');
      },
      Math.max(0, this.request.deadlineMs - this.context.clock()),
    );
    try {
      await this.#runAttempts();
    } finally {
      clearTimeout(timer);
      this.#sseBuffer?.flush();
    }
  }

  /**
   * Aborts the attempt in progress.
   *
   * @param reason - decides whether another replica may be tried
   */
  withdraw(reason: WithdrawReason): void {
    // A reason that ends the request takes precedence over one that moves it to
    // another replica.
    if (this.#withdrawReason !== null && movesToOtherReplica(reason)) {
      return;
    }
    // A caller that doesn't read makes its replica seem silent. An answer that no other
    // replica can continue is better late than cut.
    const isKept = !this.#canContinue || this.#response.waitsForCaller;
    if (reason === 'silent' && isKept) {
      return;
    }
    this.#withdrawReason = reason;
    this.#recorder.withdrawn(this.#attempt, reason);
    this.#exchange?.abort();
  }

  /** Whether another replica could write what follows the answer so far. */
  get #canContinue(): boolean {
    return (
      !this.#response.hasStarted || this.#sseBuffer?.isContinuable === true
    );
  }

  /** Aborts the response to the caller. */
  cutResponse(): void {
    this.#response.cut();
  }

  /** Whether an attempt is the one in progress. */
  isRunning(attempt: GatewayAttempt): boolean {
    return this.#attempt === attempt;
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
    const { router } = this.context;
    if (this.#withdrawReason !== null) {
      const callerLeft = this.#withdrawReason === 'callerLeft';
      this.#finishWithCode(callerLeft ? 'callerLeft' : 'backendTimeout', 0, {});
      return false;
    }
    const decision = await placeWhenViewUsable(
      this.context,
      this.request,
      this.execution.tried,
    );
    if (decision.kind === 'send' && this.#outlastsInstance(decision.placed)) {
      this.#finishWithCode('instanceLeaving', STOPPING_INSTANCE_RETRY_MS, {
        predictedMs: Math.round(decision.placed.predictedWholeMs),
      });
      return false;
    }
    if (decision.kind === 'refuse') {
      if (decision.share) {
        this.#recorder.heldBack();
      }
      this.#finishWithCode(decision.code, decision.retryAfterMs, {
        ...admissionFields(decision.verdict),
        ...shareFields(decision.share),
        ...queueFields(decision.best, this.request),
        ...crashFields(router.board, this.request),
        candidates: decision.candidates,
      });
      return false;
    }
    const { attempt, result, reused } = await this.#sendTo(decision);
    if (result.kind === 'answered') {
      this.#recorder.answered(result.status, this.#progress);
      return false;
    }
    const { execution } = this;
    const recovery = router.recover(this.request, result, {
      sent: execution.sent,
      unsent: execution.unsent,
      mayHaveRun: execution.mayHaveRun,
      canContinue: this.#canContinue,
    });
    this.#recorder.failed(attempt, result, recovery, {
      sent: execution.sent,
      reused,
    });
    return this.#applyRecovery(recovery);
  }

  /** Whether the instance would stop before the response is complete. */
  #outlastsInstance({ predictedWholeMs }: PlacedCandidate): boolean {
    const { stopPlan, clock } = this.context;
    return (
      this.execution.sent === 0 &&
      outlastsStop(this.request, predictedWholeMs, clock(), stopPlan)
    );
  }

  async #sendTo({
    placed,
    candidates,
  }: SendDecision): Promise<FinishedAttempt> {
    const { router, connections, metrics } = this.context;
    const { request, execution } = this;
    const { replica } = placed.load;
    const attempt = router.beginAttempt(
      request,
      placed,
      execution.sent + execution.unsent + 1,
      execution.sent + 1,
    );
    execution.begin(replica.id);
    this.#attempt = attempt;
    this.#sseBuffer?.discardPartial();
    this.#recorder.placed(attempt, candidates);
    const assembler = this.#createAssembler();
    let relayed: RelayedConnection | null = null;
    const exchange = sendAttempt(
      connections.poolFor(replica, connectionShare(router.board, request)),
      {
        id: request.id,
        method: this.call.method,
        target: this.call.target,
        headers: this.#backendHeaders(attempt),
        body: this.call.body,
      },
      {
        maySend: relay => {
          relayed = relay;
          return this.#maySend(attempt, relay);
        },
        onStart: (status, headers) => {
          const isRejection = assembler.start(status, headers);
          this.#onHead(attempt, assembler);
          return isRejection;
        },
        onData: chunk => {
          if (attempt.pieces === 0) {
            this.#recorder.firstByte(attempt);
          }
          router.onBytes(attempt, assembler.wasExecuted);
          this.#timings.onChunk();
          return this.#push(attempt, assembler, chunk);
        },
      },
    );
    this.#exchange = exchange;
    const connectionEnd = await exchange.ended;
    const exchangeEnd = await confirmEnd(
      this.context,
      { replica, relayed },
      connectionEnd,
      assembler,
      () => this.#withdrawReason !== null,
    );
    this.#exchange = null;
    this.#attempt = null;
    const { result, failure, error } = endAttempt(
      exchangeEnd,
      assembler,
      this.#withdrawReason,
    );
    assembler.discard();
    this.#finisher.keepFailure(failure);
    if (error) {
      this.#recorder.invalidResponse(attempt, error);
    }
    router.onEnded(attempt, result);
    metrics.attempts.inc({ service: request.service.id, result: result.kind });
    execution.end(result);
    this.#recorder.responseEnded(attempt, result, assembler.progress);
    const reused = exchangeEnd.kind === 'failed' && exchangeEnd.reused;
    checkReplicaAfter(this.context, replica, exchangeEnd);
    return { attempt, result, reused };
  }

  /** Accepts a chunk of a response; the first event for the caller binds the stream. */
  #push(
    attempt: GatewayAttempt,
    assembler: ResponseAssembler,
    chunk: Buffer,
  ): boolean {
    const acceptsMore = assembler.push(chunk);
    const { binding } = this.request;
    if (
      this.#response.hasStarted &&
      binding?.bind(attempt.softwareVersion) === true
    ) {
      this.context.streams.onBegun(this.request);
    }
    return acceptsMore;
  }

  /** Checks an attempt for the last time before its first byte is sent. */
  #maySend(attempt: GatewayAttempt, relay: RelayedConnection | null): boolean {
    const { lease, router } = this.context;
    const maySend = lease.isUsable && router.mayReceive(attempt);
    if (maySend) {
      this.#recorder.sending(attempt, relay);
    }
    return maySend;
  }

  #createAssembler(): ResponseAssembler {
    return new ResponseAssembler({
      requestId: this.request.id,
      method: this.call.method,
      kind: this.request.route.kind,
      dialect: this.context.dialect,
      answer: this.#response,
      events: this.#sseBuffer,
      budget: this.context.responseBudget,
      resume: () => this.#exchange?.resume(),
    });
  }

  #onHead(attempt: GatewayAttempt, assembler: ResponseAssembler): void {
    const { router } = this.context;
    // A response without the stamp may come from another replica at the same
    // address; that it states no limit says nothing about this replica.
    if (assembler.wasExecuted || assembler.limitPerS !== null) {
      router.onLimit(attempt, assembler.limitPerS);
    }
    if (assembler.announcesLeave && router.onLeaveAnnounced(attempt)) {
      this.#recorder.leaveAnnounced(attempt);
    }
    const { pauseMs } = assembler;
    if (pauseMs !== null && router.onPauseRequested(attempt, pauseMs)) {
      this.#recorder.pauseRequested(attempt, pauseMs);
    }
    if (assembler.load) {
      router.onReported(attempt, assembler.load);
    }
    if (!assembler.isRelaying) {
      this.#recorder.firstByte(attempt);
      router.onBytes(attempt, assembler.wasExecuted);
    }
  }

  #backendHeaders(attempt: GatewayAttempt): string[] {
    const { request, call, context } = this;
    const { dialect } = context;
    return dialect.toBackendHeaders(call.headers, {
      host: headerValue(call.headers, 'host') ?? '',
      timeLeftMs: Math.max(1, Math.floor(request.deadlineMs - context.clock())),
      backendServer: attempt.load.replica.id,
      organisation: request.organisation,
      priority: request.service.engine ? attempt.rank : null,
      lastEventId: this.#sseBuffer?.lastId ?? call.head.lastEventId,
      fetchFrom: attempt.fetch?.from.address ?? null,
    });
  }

  /**
   * Acts on a recovery decision.
   *
   * @returns whether another attempt follows
   */
  #applyRecovery(recovery: Recovery): boolean {
    switch (recovery.kind) {
      case 'retry':
        if (
          this.#withdrawReason !== null &&
          movesToOtherReplica(this.#withdrawReason)
        ) {
          this.#withdrawReason = null;
        }
        if (this.#withdrawReason !== null || this.#response.isClosed) {
          this.#finishWithCode('callerLeft', 0, {});
          return false;
        }
        return true;
      case 'passOn':
        this.#finisher.forwardFailure(this.#progress);
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
    this.#finisher.finishWithCode(code, retryAfterMs, facts, this.#progress);
  }

  get #progress(): RequestProgress {
    return {
      sent: this.execution.sent,
      unsent: this.execution.unsent,
      firstByteMs: this.#timings.firstByteMs,
      longestPauseMs: this.#timings.longestPauseMs,
    };
  }
}
