import type {
  AttemptResult,
  GatewayAttempt,
  WithdrawReason,
} from '@jujubecroft/decisions';
import { connectionShare } from '@jujubecroft/decisions';

import type { ExchangeEnd, RunningExchange } from '../backends/sendAttempt.js';
import { sendAttempt } from '../backends/sendAttempt.js';
import type { RelayedConnection } from '../relay/RelayedConnection.js';
import { headerValue } from '../util/headers.js';
import { toError } from '../util/toError.js';
import { allowReturn } from './nextReplicas.js';
import { checkReplicaAfter } from './checkReplicaAfter.js';
import { confirmEnd } from './confirmEnd.js';
import { endAttempt } from './endAttempt.js';
import { movesToOtherReplica } from './movesToOtherReplica.js';
import type { RequestState } from './RequestState.js';
import { ResponseAssembler } from './ResponseAssembler.js';

/** An attempt that has ended. */
export interface FinishedAttempt {
  readonly attempt: GatewayAttempt;
  readonly result: AttemptResult;
  /** Whether it used a connection that had served another request. */
  readonly reused: boolean;
}

/** Callbacks of a running attempt. */
export interface AttemptListener {
  /** Called when the request is about to be sent. */
  readonly onSent: () => void;
  /** Called with the head of an answer, and with each part, before it is passed on. */
  readonly onAnswer: () => void;
}

/** One attempt at one replica. */
export class AttemptRun {
  readonly #assembler: ResponseAssembler;
  #exchange: RunningExchange | null = null;
  #withdrawReason: WithdrawReason | null = null;
  /** Whether another attempt writes the answer. */
  #isSuperseded = false;
  #relayed: RelayedConnection | null = null;
  /** Whether the last check before the send failed. */
  #isWithheld = false;

  /**
   * @param state - shared by all attempts of the request
   * @param attempt - the attempt, which has a place at its replica
   * @param listener - callbacks
   */
  constructor(
    private readonly state: RequestState,
    readonly attempt: GatewayAttempt,
    private readonly listener: AttemptListener,
  ) {
    const { request, call, context, response, events } = state;
    this.#assembler = new ResponseAssembler({
      requestId: request.id,
      method: call.method,
      kind: request.route.kind,
      dialect: context.dialect,
      answer: response,
      events,
      budget: context.responseBudget,
      resume: () => this.#exchange?.resume(),
    });
  }

  /** Whether the exchange with the replica goes on. */
  get isExchanging(): boolean {
    return this.#exchange !== null;
  }

  /**
   * Aborts the attempt.
   *
   * @param reason - decides whether another replica may be tried
   */
  withdraw(reason: WithdrawReason): void {
    // A reason that ends the request takes precedence over one that moves it to
    // another replica.
    if (this.#withdrawReason !== null && movesToOtherReplica(reason)) {
      return;
    }
    this.#withdrawReason = reason;
    this.state.recorder.withdrawn(this.attempt, reason);
    this.#exchange?.abort();
  }

  /** Aborts the attempt because another one writes the answer. */
  supersede(reason: WithdrawReason): void {
    this.#isSuperseded = true;
    this.withdraw(reason);
  }

  /**
   * Sends the request.
   *
   * @returns how the attempt ended
   */
  async run(): Promise<FinishedAttempt> {
    const { context, request, finisher, recorder, execution } = this.state;
    const { router, metrics } = context;
    const { attempt } = this;
    const { replica } = attempt.load;
    const assembler = this.#assembler;
    const exchangeEnd = await this.#exchangeEnd();
    const { result, failure, error } = endAttempt(
      exchangeEnd,
      assembler,
      this.#withdrawReason,
    );
    assembler.discard();
    finisher.keepFailure(failure);
    if (error) {
      recorder.invalidResponse(attempt, error);
    }
    router.onEnded(attempt, result);
    metrics.attempts.inc({ service: request.service.id, result: result.kind });
    execution.end(replica.id, result);
    if (this.#isWithheld) {
      execution.release(replica.id);
    }
    if (this.#isSuperseded) {
      allowReturn(this.state, attempt, result);
    }
    recorder.responseEnded(attempt, result, assembler.progress);
    const reused = exchangeEnd.kind === 'failed' && exchangeEnd.reused;
    checkReplicaAfter(context, replica, exchangeEnd);
    return { attempt, result, reused };
  }

  /** Begins the exchange with the replica. */
  #send(): RunningExchange {
    const { context, request, call } = this.state;
    const { connections, router } = context;
    const { replica } = this.attempt.load;
    return sendAttempt(
      connections.poolFor(replica, connectionShare(router.board, request)),
      {
        id: request.id,
        method: call.method,
        target: call.target,
        headers: this.#backendHeaders(),
        body: call.body,
      },
      {
        maySend: relay => this.#maySend(relay),
        onStart: (status, headers) => {
          const isRejection = this.#assembler.start(status, headers);
          this.#onHead();
          return isRejection;
        },
        onData: chunk => this.#onData(chunk),
      },
    );
  }

  /** Sends the request and returns the end of the exchange, once it is certain. */
  async #exchangeEnd(): Promise<ExchangeEnd> {
    const { context } = this.state;
    const { replica } = this.attempt.load;
    try {
      this.#exchange = this.#send();
    } catch (err) {
      // Nothing was sent. The attempt ends as any other, so that its replica doesn't look busy.
      return { kind: 'invalid', sent: false, error: toError(err) };
    }
    const connectionEnd = await this.#exchange.ended;
    this.#exchange = null;
    const exchangeEnd = await confirmEnd(
      context,
      { replica, relayed: this.#relayed },
      connectionEnd,
      this.#assembler,
      () => this.#withdrawReason !== null,
    );
    return exchangeEnd.kind === 'complete' && this.#isSuperseded
      ? { kind: 'aborted', sent: true }
      : exchangeEnd;
  }

  /** Checks the attempt for the last time before its first byte is sent. */
  #maySend(relay: RelayedConnection | null): boolean {
    const { context, recorder } = this.state;
    const { lease, router } = context;
    this.#relayed = relay;
    const maySend = lease.isUsable && router.mayReceive(this.attempt);
    this.#isWithheld = !maySend;
    if (maySend) {
      recorder.sending(this.attempt, relay);
      this.listener.onSent();
    }
    return maySend;
  }

  #onHead(): void {
    const { context, recorder } = this.state;
    const { router } = context;
    const { attempt } = this;
    const assembler = this.#assembler;
    // A response without the stamp may come from another replica at the same
    // address; that it states no limit says nothing about this replica.
    if (assembler.wasExecuted || assembler.limitPerS !== null) {
      router.onLimit(attempt, assembler.limitPerS);
    }
    if (assembler.announcesLeave && router.onLeaveAnnounced(attempt)) {
      recorder.leaveAnnounced(attempt);
    }
    const { pauseMs } = assembler;
    if (pauseMs !== null && router.onPauseRequested(attempt, pauseMs)) {
      recorder.pauseRequested(attempt, pauseMs);
    }
    if (assembler.load) {
      router.onReported(attempt, assembler.load);
    }
    if (!assembler.isRelaying) {
      recorder.firstByte(attempt);
      router.onBytes(attempt, assembler.wasExecuted);
    }
    if (assembler.isAnswer) {
      this.listener.onAnswer();
    }
  }

  /** Accepts a chunk of a response; the first event for the caller binds the stream. */
  #onData(chunk: Buffer): boolean {
    const { context, request, recorder, response, timings } = this.state;
    const { attempt } = this;
    const assembler = this.#assembler;
    if (attempt.pieces === 0) {
      recorder.firstByte(attempt);
    }
    context.router.onBytes(attempt, assembler.wasExecuted);
    timings.onChunk();
    if (assembler.isAnswer) {
      this.listener.onAnswer();
    }
    const acceptsMore = assembler.push(chunk);
    if (
      response.hasStarted &&
      request.binding?.bind(attempt.softwareVersion) === true
    ) {
      context.streams.onBegun(request);
    }
    return acceptsMore;
  }

  #backendHeaders(): string[] {
    const { request, call, context, events } = this.state;
    const { attempt } = this;
    return context.dialect.toBackendHeaders(call.headers, {
      host: headerValue(call.headers, 'host') ?? '',
      timeLeftMs: Math.max(1, Math.floor(request.deadlineMs - context.clock())),
      backendServer: attempt.load.replica.id,
      organisation: request.organisation,
      priority: request.service.engine ? attempt.rank : null,
      lastEventId: events?.lastId ?? call.head.lastEventId,
      fetchFrom: attempt.fetch?.from.address ?? null,
    });
  }
}
