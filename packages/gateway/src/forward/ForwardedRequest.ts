import type {
  AttemptResult,
  GatewayAttempt,
  GatewayRequest,
  PlacedCandidate,
  PlacementDecision,
  Recovery,
  WithdrawReason,
} from '@jujubecroft/decisions';
import { connectionShare, outlastsStop } from '@jujubecroft/decisions';
import type { BackendServerId, ResultCodeId } from '@jujubecroft/types';

import type { ExchangeEnd, RunningExchange } from '../backends/sendAttempt.js';
import { sendAttempt } from '../backends/sendAttempt.js';
import type { GatewayContext } from '../GatewayContext.js';
import type { CallerHead, RawHeaders } from '../ports/CallerDialect.js';
import { AnswerAssembly } from './AnswerAssembly.js';
import { AnswerTimes } from './AnswerTimes.js';
import type { CallerAnswer } from './CallerAnswer.js';
import { EventCutter } from './EventCutter.js';
import { placeOnView } from './placeOnView.js';
import { RequestEnding } from './RequestEnding.js';
import type { Facts, Progress } from './RequestNotes.js';
import {
  crashFacts,
  queueFacts,
  RequestNotes,
  verdictFacts,
} from './RequestNotes.js';

/** A caller's request as it came. */
export interface IncomingCall {
  readonly method: string;
  readonly target: string;
  readonly headers: RawHeaders;
  readonly head: CallerHead;
  readonly body: Buffer | null;
}

type SendDecision = Extract<PlacementDecision, { kind: 'send' }>;

interface TriedAttempt {
  readonly attempt: GatewayAttempt;
  readonly result: AttemptResult;
}

/** Told by an instance that stops; callers find another at once. */
const LEAVING_RETRY_MS = 50;

/** Carries one request to a replica, and to others if that fails. */
export class ForwardedRequest {
  readonly #answer: CallerAnswer;
  readonly #notes: RequestNotes;
  readonly #ending: RequestEnding;
  readonly #tried = new Set<BackendServerId>();
  readonly #events: EventCutter | null;
  #exchange: RunningExchange | null = null;
  #attempt: GatewayAttempt | null = null;
  #withdrawn: WithdrawReason | null = null;
  #sent = 0;
  #unsent = 0;
  #mayHaveRun = false;
  readonly #times: AnswerTimes;

  constructor(
    private readonly context: GatewayContext,
    private readonly request: GatewayRequest,
    private readonly call: IncomingCall,
    answer: CallerAnswer,
  ) {
    this.#answer = answer;
    this.#times = new AnswerTimes(context.clock);
    this.#notes = new RequestNotes(context, request);
    this.#ending = new RequestEnding(
      context.dialect,
      request.id,
      answer,
      this.#notes,
    );
    const resumes =
      request.route.kind === 'streaming' && request.route.resumable;
    this.#events = resumes ? new EventCutter(call.head.lastEventId) : null;
  }

  /** Carries the request until the caller has its answer, or is gone. */
  async run(): Promise<void> {
    const timer = setTimeout(
      () => {
        this.withdraw('timeLimit');
      },
      Math.max(0, this.request.deadlineMs - this.context.clock()),
    );
    try {
      await this.#carry();
    } finally {
      clearTimeout(timer);
    }
  }

  /** Gives up the attempt that is under way. */
  withdraw(reason: WithdrawReason): void {
    // What ends the request for good is not overruled by what moves it.
    if (this.#withdrawn !== null && movesOn(reason)) {
      return;
    }
    this.#withdrawn = reason;
    this.#exchange?.abort();
  }

  /** Whether an attempt is the one under way. */
  runs(attempt: GatewayAttempt): boolean {
    return this.#attempt === attempt;
  }

  async #carry(): Promise<void> {
    let goesOn = true;
    while (goesOn) {
      goesOn = await this.#step();
    }
  }

  /** One attempt; returns whether another follows. */
  async #step(): Promise<boolean> {
    const { router } = this.context;
    if (this.#withdrawn !== null) {
      const left = this.#withdrawn === 'callerLeft';
      this.#finishWithout(left ? 'callerLeft' : 'backendTimeout', 0, {});
      return false;
    }
    const decision = await placeOnView(this.context, this.request, this.#tried);
    if (decision.kind === 'send' && this.#outlastsThis(decision.placed)) {
      this.#finishWithout('instanceLeaving', LEAVING_RETRY_MS, {
        predictedMs: Math.round(decision.placed.predictedWholeMs),
      });
      return false;
    }
    if (decision.kind === 'refuse') {
      this.#finishWithout(decision.code, decision.retryAfterMs, {
        ...verdictFacts(decision.verdict),
        ...queueFacts(decision.best, this.request),
        ...crashFacts(router.board, this.request),
        candidates: decision.candidates,
      });
      return false;
    }
    const { attempt, result } = await this.#try(decision);
    if (result.kind === 'answered') {
      this.#notes.answered(result.status, this.#progress);
      return false;
    }
    const recovery = router.recover(this.request, result, {
      sent: this.#sent,
      unsent: this.#unsent,
      mayHaveRun: this.#mayHaveRun,
    });
    this.#notes.failed(attempt, result, recovery, this.#sent);
    return this.#follow(recovery);
  }

  /** Whether the instance would stop before the request's answer ends. */
  #outlastsThis({ predictedWholeMs }: PlacedCandidate): boolean {
    const { stopPlan, clock } = this.context;
    return (
      this.#sent === 0 &&
      outlastsStop(this.request, predictedWholeMs, clock(), stopPlan)
    );
  }

  async #try({ placed, candidates }: SendDecision): Promise<TriedAttempt> {
    const { router, connections, lease, metrics } = this.context;
    const { request } = this;
    const { replica } = placed.load;
    const attempt = router.begin(
      request,
      placed,
      this.#sent + this.#unsent + 1,
      this.#sent + 1,
    );
    this.#attempt = attempt;
    this.#events?.startOver();
    this.#notes.placed(attempt, candidates);
    const assembly = this.#assembly();
    const exchange = sendAttempt(
      connections.of(replica, connectionShare(router.board, request)),
      {
        method: this.call.method,
        target: this.call.target,
        headers: this.#backendHeaders(attempt),
        body: this.call.body,
      },
      {
        mayGo: () => lease.isUsable && router.mayReceive(attempt),
        onStart: (status, headers) =>
          assembly.start(status, headers) && this.#onHead(attempt, assembly),
        onData: chunk => {
          if (attempt.pieces === 0) {
            this.#notes.firstByte(attempt);
          }
          router.onBytes(attempt, assembly.hasRun);
          this.#times.onPiece();
          return assembly.take(chunk);
        },
      },
    );
    this.#exchange = exchange;
    const end = await exchange.ended;
    this.#exchange = null;
    this.#attempt = null;
    const result = this.#resultOf(end, assembly);
    router.onEnded(attempt, result);
    metrics.attempts.inc({ service: request.service.id, result: result.kind });
    this.#count(result, replica.id);
    return { attempt, result };
  }

  #assembly(): AnswerAssembly {
    return new AnswerAssembly({
      requestId: this.request.id,
      kind: this.request.route.kind,
      dialect: this.context.dialect,
      answer: this.#answer,
      events: this.#events,
      resume: () => this.#exchange?.resume(),
    });
  }

  #onHead(attempt: GatewayAttempt, assembly: AnswerAssembly): true {
    const { router } = this.context;
    // Another replica at the address names no limit, and says nothing of this one's.
    if (assembly.hasRun || assembly.limitPerS !== null) {
      router.onLimit(attempt, assembly.limitPerS);
    }
    if (assembly.load) {
      router.onReported(attempt, assembly.load);
    }
    if (!assembly.relays) {
      this.#notes.firstByte(attempt);
      router.onBytes(attempt, assembly.hasRun);
    }
    return true;
  }

  #backendHeaders(attempt: GatewayAttempt): string[] {
    const { request, call, context } = this;
    const { dialect } = context;
    return dialect.toBackend(call.headers, {
      host: hostOf(call.headers),
      timeLeftMs: Math.max(1, Math.floor(request.deadlineMs - context.clock())),
      backendServer: attempt.load.replica.id,
      organisation: request.organisation,
      priority: request.service.engine ? attempt.rank : null,
      lastEventId: this.#events?.lastId ?? call.head.lastEventId,
      fetchFrom: attempt.fetch?.from.address ?? null,
    });
  }

  #resultOf(end: ExchangeEnd, assembly: AnswerAssembly): AttemptResult {
    switch (end.kind) {
      case 'complete': {
        const { result, failure } = assembly.complete();
        this.#ending.keepFailure(failure);
        return result;
      }
      case 'aborted':
        return this.#afterAbort(end.sent);
      case 'failed':
        return end.sent
          ? { kind: 'lost', reason: end.reason }
          : { kind: 'unsent', reason: end.reason };
    }
  }

  #afterAbort(sent: boolean): AttemptResult {
    const reason = this.#withdrawn;
    if (reason === null) {
      return { kind: 'lost', reason: 'answer of another request' };
    }
    // Whatever waited for a connection to the earlier run never reached it.
    return reason === 'replicaRestarted' && !sent
      ? { kind: 'unsent', reason }
      : { kind: 'withdrawn', reason };
  }

  #count(result: AttemptResult, replica: BackendServerId): void {
    if (result.kind === 'unsent') {
      this.#unsent += 1;
    } else {
      this.#sent += 1;
    }
    this.#tried.add(replica);
    this.#mayHaveRun ||= !['notRun', 'unsent'].includes(result.kind);
  }

  /** Takes the next step; returns whether another attempt follows. */
  #follow(recovery: Recovery): boolean {
    switch (recovery.kind) {
      case 'retry':
        if (this.#withdrawn !== null && movesOn(this.#withdrawn)) {
          this.#withdrawn = null;
        }
        if (this.#withdrawn !== null || this.#answer.isClosed) {
          this.#finishWithout('callerLeft', 0, {});
          return false;
        }
        return true;
      case 'passOn':
        this.#ending.passOnFailure(this.#progress);
        return false;
      case 'answer':
        this.#finishWithout(recovery.code, recovery.retryAfterMs, {});
        return false;
    }
  }

  #finishWithout(code: ResultCodeId, retryAfterMs: number, facts: Facts): void {
    this.#ending.finishWithout(code, retryAfterMs, facts, this.#progress);
  }

  get #progress(): Progress {
    return {
      sent: this.#sent,
      unsent: this.#unsent,
      mayHaveRun: this.#mayHaveRun,
      firstByteMs: this.#times.firstByteMs,
      longestPauseMs: this.#times.longestPauseMs,
    };
  }
}

/** Whether a request goes on elsewhere, where it may, after such a withdrawal. */
function movesOn(reason: WithdrawReason): boolean {
  return reason === 'silent' || reason === 'replicaRestarted';
}

function hostOf(headers: RawHeaders): string {
  const index = headers.findIndex(
    (text, place) => place % 2 === 0 && text.toLowerCase() === 'host',
  );
  return headers[index + 1] ?? '';
}
