import type {
  AttemptResult,
  GatewayAttempt,
  GatewayRequest,
  PlacedCandidate,
  Recovery,
  WithdrawReason,
} from '@jujubecroft/decisions';
import { connectionShare, isIdempotent } from '@jujubecroft/decisions';
import type { BackendServerId, ResultCodeId } from '@jujubecroft/types';
import { RESULT_CODES } from '@jujubecroft/types';

import type { RunningExchange } from '../backends/sendAttempt.js';
import { sendAttempt } from '../backends/sendAttempt.js';
import type { GatewayContext } from '../GatewayContext.js';
import type {
  AnswerHead,
  CallerHead,
  RawHeaders,
} from '../ports/CallerDialect.js';
import type { WholeAnswer } from './CallerAnswer.js';
import type { CallerAnswer } from './CallerAnswer.js';
import { EventCutter } from './EventCutter.js';
import { ownAnswer } from './ownAnswer.js';

/** A caller's request as it came. */
export interface IncomingCall {
  readonly method: string;
  readonly target: string;
  readonly headers: RawHeaders;
  readonly head: CallerHead;
  readonly body: Buffer | null;
}

const FIRST_FAILURE_STATUS = 400;
const FIRST_SERVER_FAILURE = 500;
/** Answers up to this size are held back until they are whole. */
const MAX_HELD_BYTES = 1024 * 1024;
/** Told by an instance that stops; callers find another at once. */
const LEAVING_RETRY_MS = 50;
/** Answers may take this much longer than predicted. */
const LEAVING_PATIENCE = 1.6;
/** Highest rank that a replica takes. */
const LAST_PRIORITY = 9;

/** What is known of the answer that is coming in. */
interface IncomingAnswer {
  readonly status: number;
  readonly headers: RawHeaders;
  readonly head: AnswerHead;
  /** Body that is held back. */
  readonly held: Buffer[];
  heldBytes: number;
  /** Whether body bytes go to the caller as they come. */
  relays: boolean;
}

/** Carries one request to a replica, and to others if that fails. */
export class ForwardedRequest {
  readonly #answer: CallerAnswer;
  readonly #tried = new Set<BackendServerId>();
  readonly #events: EventCutter | null;
  #exchange: RunningExchange | null = null;
  #attempt: GatewayAttempt | null = null;
  #withdrawn: WithdrawReason | null = null;
  #incoming: IncomingAnswer | null = null;
  #failure: WholeAnswer | null = null;
  #sent = 0;
  #unsent = 0;
  #mayHaveRun = false;
  #firstByteMs: number | null = null;

  constructor(
    private readonly context: GatewayContext,
    private readonly request: GatewayRequest,
    private readonly call: IncomingCall,
    answer: CallerAnswer,
  ) {
    this.#answer = answer;
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
    if (this.#withdrawn !== null && reason === 'silent') {
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
    const decision = router.place(this.request, this.#tried);
    if (decision.kind === 'send' && this.#outlastsThis(decision.placed)) {
      this.#finishWithout('instanceLeaving', LEAVING_RETRY_MS, {
        predictedMs: Math.round(decision.placed.predictedWholeMs),
      });
      return false;
    }
    if (decision.kind === 'refuse') {
      this.#finishWithout(decision.code, decision.retryAfterMs, {
        predictedMs: Math.round(decision.predictedMs),
        allowedMs: Math.round(decision.allowedMs),
        candidates: decision.candidates,
      });
      return false;
    }
    const result = await this.#try(decision.placed, decision.candidates);
    if (result.kind === 'answered') {
      this.#noteAnswered(result.status);
      return false;
    }
    const recovery = router.recover(this.request, result, {
      sent: this.#sent,
      unsent: this.#unsent,
      mayHaveRun: this.#mayHaveRun,
    });
    this.#noteFailure(result, recovery);
    return this.#follow(recovery, result);
  }

  /**
   * Whether a request would run longer than this instance.
   *
   * Guards against cutting a stream that came after a stop was asked for, while
   * callers still held this address. Turned away at once it runs elsewhere.
   */
  #outlastsThis({ predictedWholeMs }: PlacedCandidate): boolean {
    const { leavingUntilMs, clock } = this.context;
    return (
      leavingUntilMs !== null &&
      this.#sent === 0 &&
      clock() + LEAVING_PATIENCE * predictedWholeMs > leavingUntilMs
    );
  }

  async #try(
    placed: PlacedCandidate,
    candidates: number,
  ): Promise<AttemptResult> {
    const { router, connections, metrics } = this.context;
    const { request } = this;
    const { replica } = placed.load;
    const attempt = router.begin(
      request,
      placed,
      this.#sent + this.#unsent + 1,
      this.#sent + 1,
    );
    this.#attempt = attempt;
    this.#incoming = null;
    this.#events?.startOver();
    this.#notePlaced(attempt, candidates);
    const exchange = sendAttempt(
      connections.of(replica, connectionShare(router.board, request)),
      {
        method: this.call.method,
        target: this.call.target,
        headers: this.#backendHeaders(attempt),
        body: this.call.body,
      },
      {
        onStart: (status, headers) => this.#onStart(status, headers),
        onData: chunk => this.#onData(chunk),
        endsByReset: () => connections.endsByReset,
      },
    );
    this.#exchange = exchange;
    const end = await exchange.ended;
    this.#exchange = null;
    this.#attempt = null;
    const result = this.#resultOf(end);
    router.onEnded(attempt, result);
    metrics.attempts.inc({ service: request.service.id, result: result.kind });
    this.#count(result, replica.id);
    return result;
  }

  #backendHeaders(attempt: GatewayAttempt): string[] {
    const { request, call, context } = this;
    const { dialect } = context;
    return dialect.toBackend(call.headers, {
      host: hostOf(call.headers),
      timeLeftMs: Math.max(1, Math.floor(request.deadlineMs - context.clock())),
      backendServer: attempt.load.replica.id,
      organisation: request.organisation,
      priority: request.service.engine
        ? Math.min(LAST_PRIORITY, request.priority)
        : null,
      lastEventId: this.#events?.lastId ?? call.head.lastEventId,
    });
  }

  #onStart(status: number, headers: RawHeaders): boolean {
    const { context, request } = this;
    const head = context.dialect.readAnswer(status, headers);
    // An answer of another request may come late, in the place of this one's.
    if (head.requestId !== request.id && !head.notRun) {
      return false;
    }
    if (status < FIRST_FAILURE_STATUS && !head.isStamped) {
      return false;
    }
    const relays =
      request.route.kind === 'streaming' &&
      status < FIRST_FAILURE_STATUS &&
      !head.notRun;
    this.#incoming = { status, headers, head, held: [], heldBytes: 0, relays };
    if (this.#attempt && head.load) {
      context.router.onReported(this.#attempt, head.load);
    }
    if (!relays && this.#attempt) {
      context.router.onBytes(this.#attempt);
    }
    return true;
  }

  #onData(chunk: Buffer): boolean {
    const incoming = this.#incoming;
    if (!incoming) {
      return true;
    }
    if (this.#attempt) {
      this.context.router.onBytes(this.#attempt);
    }
    this.#firstByteMs ??= this.context.clock();
    if (!incoming.relays) {
      this.#hold(incoming, chunk);
      return true;
    }
    return this.#relay(incoming, this.#events?.push(chunk) ?? chunk);
  }

  /** Keeps an answer back until it is whole, so that a cut one can be replaced. */
  #hold(incoming: IncomingAnswer, chunk: Buffer): void {
    incoming.held.push(chunk);
    incoming.heldBytes += chunk.length;
    const fits = incoming.heldBytes <= MAX_HELD_BYTES;
    if (fits || incoming.status >= FIRST_FAILURE_STATUS) {
      return;
    }
    incoming.relays = true;
    this.#relay(incoming, Buffer.concat(incoming.held));
  }

  #relay(incoming: IncomingAnswer, chunk: Buffer): boolean {
    if (this.#answer.isClosed || chunk.length === 0) {
      return true;
    }
    if (!this.#answer.hasStarted) {
      const { dialect } = this.context;
      this.#answer.start(incoming.status, dialect.toCaller(incoming.headers));
    }
    const takesMore = this.#answer.write(chunk);
    if (!takesMore) {
      const exchange = this.#exchange;
      this.#answer.onDrain(() => exchange?.resume());
    }
    return takesMore;
  }

  #resultOf(end: Awaited<RunningExchange['ended']>): AttemptResult {
    switch (end.kind) {
      case 'complete':
        return this.#completeResult();
      case 'aborted':
        return this.#withdrawn === null
          ? { kind: 'lost', reason: 'answer of another request' }
          : { kind: 'withdrawn', reason: this.#withdrawn };
      case 'failed':
        return end.sent
          ? { kind: 'lost', reason: end.reason }
          : { kind: 'unsent', reason: end.reason };
    }
  }

  #completeResult(): AttemptResult {
    const incoming = this.#incoming;
    if (!incoming) {
      return { kind: 'lost', reason: 'no answer' };
    }
    const { status, head } = incoming;
    if (head.notRun) {
      return { kind: 'notRun', reason: `status ${status}` };
    }
    if (incoming.relays) {
      this.#relay(incoming, this.#events?.takeRest() ?? Buffer.alloc(0));
      this.#endRelay(incoming);
      return { kind: 'answered', status };
    }
    const whole: WholeAnswer = {
      status,
      headers: this.context.dialect.toCaller(incoming.headers),
      body: Buffer.concat(incoming.held),
    };
    if (status >= FIRST_SERVER_FAILURE || this.#answer.hasStarted) {
      this.#failure = whole;
      return { kind: 'failed', status };
    }
    if (!this.#answer.isClosed) {
      this.#answer.send(whole);
    }
    return { kind: 'answered', status };
  }

  #endRelay(incoming: IncomingAnswer): void {
    if (this.#answer.isClosed) {
      return;
    }
    if (!this.#answer.hasStarted) {
      const { dialect } = this.context;
      this.#answer.start(incoming.status, dialect.toCaller(incoming.headers));
    }
    this.#answer.end();
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
  #follow(recovery: Recovery, result: AttemptResult): boolean {
    switch (recovery.kind) {
      case 'retry':
        if (this.#withdrawn === 'silent') {
          this.#withdrawn = null;
        }
        if (this.#withdrawn !== null || this.#answer.isClosed) {
          this.#finishWithout('callerLeft', 0, {});
          return false;
        }
        this.context.metrics.retries.inc({
          service: this.request.service.id,
          after: result.kind,
        });
        return true;
      case 'passOn':
        this.#passOnFailure();
        return false;
      case 'answer':
        this.#finishWithout(recovery.code, recovery.retryAfterMs, {});
        return false;
    }
  }

  #passOnFailure(): void {
    const failure = this.#failure;
    if (!failure || this.#answer.hasStarted) {
      this.#finishWithout('backendMaybeRan', 0, {});
      return;
    }
    if (!this.#answer.isClosed) {
      this.#answer.send(failure);
    }
    this.#noteEnd('requestCut', `status ${failure.status}`, {});
  }

  /** Ends the request with an answer of this system's own. */
  #finishWithout(
    code: ResultCodeId,
    retryAfterMs: number,
    facts: Readonly<Record<string, unknown>>,
  ): void {
    if (code === 'callerLeft') {
      this.#answer.cut();
      this.#noteEnd('callerLeft', code, facts);
      return;
    }
    // A failure that a replica gave says more than one of ours.
    if (this.#failure && !this.#answer.hasStarted && this.#mayHaveRun) {
      this.#passOnFailure();
      return;
    }
    const started = this.#answer.hasStarted;
    const isRefusal = RESULT_CODES[code].ran === 'no';
    const told = isRefusal && this.#mayHaveRun ? 'backendMaybeRan' : code;
    if (started) {
      this.#answer.cut();
    } else if (!this.#answer.isClosed) {
      this.#answer.send(
        ownAnswer(this.context.dialect, told, this.request.id, retryAfterMs),
      );
    }
    const event = told === code && isRefusal ? 'requestRefused' : 'requestCut';
    this.#noteEnd(event, told, { retryAfterMs, started, ...facts });
  }

  #notePlaced(attempt: GatewayAttempt, candidates: number): void {
    const { context, request } = this;
    const { board } = context.router;
    context.log.write('requestPlaced', {
      request: request.id,
      route: request.route.id,
      kind: request.route.kind,
      priority: request.priority,
      organisation: request.organisation,
      attempt: attempt.number,
      backendServer: attempt.load.replica.id,
      predictedMs: Math.round(attempt.predictedMs),
      tokensAhead: attempt.tokensAhead,
      inFlight: attempt.load.totalInFlight,
      candidates,
      replicasVersion: board.replicas.version,
      replicasAgeMs: Math.round(board.replicas.ageMs),
      configuration: board.table?.cfg.version,
      leftMs: Math.round(request.deadlineMs - context.clock()),
    });
  }

  #noteFailure(result: AttemptResult, recovery: Recovery): void {
    const { context, request } = this;
    context.log.write('attemptFailed', {
      request: request.id,
      result: result.kind,
      ...('reason' in result ? { reason: result.reason } : {}),
      ...('status' in result ? { status: result.status } : {}),
      next: recovery.kind,
      sent: this.#sent,
      budgetLeft: Math.floor(
        context.router.board.budget.left(request.service.id),
      ),
      idempotent: isIdempotent(request.route),
    });
  }

  #noteAnswered(status: number): void {
    const { context, request } = this;
    const { kind, latencyTargetMs } = request.route;
    const priority = String(request.priority);
    const nowMs = context.clock();
    const wholeMs = nowMs - request.arrivedMs;
    const firstMs = (this.#firstByteMs ?? nowMs) - request.arrivedMs;
    context.metrics.requests.inc({ kind, priority, outcome: 'answered' });
    context.metrics.whole.observe({ kind, priority }, wholeMs / 1000);
    context.metrics.firstByte.observe({ kind, priority }, firstMs / 1000);
    context.log.write('requestAnswered', {
      request: request.id,
      status,
      firstMs: Math.round(firstMs),
      wholeMs: Math.round(wholeMs),
      targetMs: latencyTargetMs,
      attempts: this.#sent + this.#unsent,
    });
  }

  #noteEnd(
    event: 'callerLeft' | 'requestCut' | 'requestRefused',
    code: string,
    facts: Readonly<Record<string, unknown>>,
  ): void {
    const { context, request } = this;
    const priority = String(request.priority);
    context.metrics.requests.inc({
      kind: request.route.kind,
      priority,
      outcome: event,
    });
    if (event === 'requestRefused') {
      context.metrics.refusals.inc({ code, priority });
    }
    context.log.write(event, {
      request: request.id,
      route: request.route.id,
      priority: request.priority,
      organisation: request.organisation,
      code,
      afterMs: Math.round(context.clock() - request.arrivedMs),
      attempts: this.#sent + this.#unsent,
      ...facts,
    });
  }
}

function hostOf(headers: RawHeaders): string {
  const index = headers.findIndex(
    (text, place) => place % 2 === 0 && text.toLowerCase() === 'host',
  );
  return headers[index + 1] ?? '';
}
