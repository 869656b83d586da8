import type {
  AttemptResult,
  GatewayAttempt,
  GatewayBoard,
  GatewayRequest,
  GatewayVerdict,
  PlacedCandidate,
  Recovery,
} from '@jujubecroft/decisions';
import { isIdempotent } from '@jujubecroft/decisions';

import type { GatewayContext } from '../GatewayContext.js';

/** How a request can end without a whole answer. */
export type UnansweredEnd = 'callerLeft' | 'requestCut' | 'requestRefused';

/** Fields of a log line. */
export type Facts = Readonly<Record<string, unknown>>;

/** How far a request has got. */
export interface Progress {
  readonly sent: number;
  readonly unsent: number;
  /** Whether an attempt may have run at a replica. */
  readonly mayHaveRun: boolean;
  /** When the first byte of its answer came; null before. */
  readonly firstByteMs: number | null;
  /** Longest pause between two pieces of its answer, in milliseconds. */
  readonly longestPauseMs: number;
}

const MS_PER_SECOND = 1000;

/**
 * The numbers of an admission for the log.
 *
 * @param verdict - null where there was nothing to judge
 * @returns the fields
 */
export function verdictFacts(verdict: GatewayVerdict | null): Facts {
  return verdict
    ? {
        predictedMs: Math.round(verdict.predictedMs),
        allowedMs: Math.round(verdict.allowedMs),
        predictedWholeMs: Math.round(verdict.predictedWholeMs),
        allowedWholeMs: Math.round(verdict.allowedWholeMs),
      }
    : {};
}

/**
 * What stands before a refused request at the replica that was best for it.
 *
 * @param best - null where there was none
 * @param request - that was refused
 * @returns the fields
 */
export function queueFacts(
  best: PlacedCandidate | null,
  { priority }: GatewayRequest,
): Facts {
  return best
    ? {
        backendServer: best.load.replica.id,
        tokensAhead: Math.round(best.tokensAhead),
        lessUrgentTokens: Math.round(best.load.lessUrgentUnread(priority)),
        inFlight: best.load.totalInFlight,
      }
    : {};
}

/**
 * The crashes that are held against a request.
 *
 * @param board - the blackboard
 * @param request - that was refused
 * @returns the fields; none where there was no crash
 */
export function crashFacts(
  { crashes }: GatewayBoard,
  request: GatewayRequest,
): Facts {
  if (crashes.isEmpty) {
    return {};
  }
  const fingerprint = request.fingerprint();
  const crashed = crashes.crashesOf(fingerprint);
  return crashed.length > 0 ? { fingerprint, crashed } : {};
}

/** Logs and counts what becomes of one request. */
export class RequestNotes {
  readonly #labels: { readonly kind: string; readonly priority: string };

  constructor(
    private readonly context: GatewayContext,
    private readonly request: GatewayRequest,
  ) {
    this.#labels = {
      kind: request.route.kind,
      priority: String(request.priority),
    };
  }

  /** An attempt goes to a replica. */
  placed(attempt: GatewayAttempt, candidates: number): void {
    const { context, request } = this;
    const { board } = context.router;
    context.log.write('requestPlaced', {
      request: request.id,
      route: request.route.id,
      kind: request.route.kind,
      priority: request.priority,
      rank: attempt.rank,
      organisation: request.organisation,
      attempt: attempt.number,
      backendServer: attempt.load.replica.id,
      predictedMs: Math.round(attempt.predictedMs),
      tokensAhead: Math.round(attempt.tokensAhead),
      unreadTokens: Math.round(attempt.unreadTokens),
      deferred: attempt.isDeferred,
      promptTokens: request.prompt?.promptTokens ?? 0,
      ...(attempt.fetch
        ? {
            fetchFrom: attempt.fetch.from.id,
            fetchTokens: Math.round(attempt.fetch.tokens),
          }
        : {}),
      inFlight: attempt.load.totalInFlight,
      candidates,
      replicasVersion: board.replicas.version,
      replicasAgeMs: Math.round(board.replicas.ageMs),
      configuration: board.table?.cfg.version,
      leftMs: Math.round(request.deadlineMs - context.clock()),
    });
  }

  /** The first byte of an answer came. */
  firstByte({ sentMs, predictedMs }: GatewayAttempt): void {
    const { context, request } = this;
    const tookMs = context.clock() - sentMs;
    context.metrics.predictionError.observe(
      { service: request.service.id },
      tookMs - predictedMs,
    );
  }

  /** An attempt gave no answer for the caller. */
  failed(
    { load }: GatewayAttempt,
    result: AttemptResult,
    recovery: Recovery,
    sent: number,
  ): void {
    const { context, request } = this;
    const service = request.service.id;
    if (recovery.kind === 'retry') {
      context.metrics.retries.inc({ service, after: result.kind });
    }
    context.log.write('attemptFailed', {
      request: request.id,
      fingerprint: request.fingerprint(),
      backendServer: load.replica.id,
      result: result.kind,
      ...('reason' in result ? { reason: result.reason } : {}),
      ...('status' in result ? { status: result.status } : {}),
      next: recovery.kind,
      sent,
      budgetLeft: Math.floor(context.router.board.budget.left(service)),
      idempotent: isIdempotent(request.route),
    });
  }

  /** The caller got a whole answer. */
  answered(status: number, progress: Progress): void {
    const { sent, unsent, firstByteMs, longestPauseMs } = progress;
    const { context, request } = this;
    const { metrics } = context;
    const nowMs = context.clock();
    const wholeMs = nowMs - request.arrivedMs;
    const firstMs = (firstByteMs ?? nowMs) - request.arrivedMs;
    metrics.requests.inc({ ...this.#labels, outcome: 'answered' });
    metrics.whole.observe(this.#labels, wholeMs / MS_PER_SECOND);
    metrics.firstByte.observe(this.#labels, firstMs / MS_PER_SECOND);
    context.log.write('requestAnswered', {
      request: request.id,
      status,
      firstMs: Math.round(firstMs),
      wholeMs: Math.round(wholeMs),
      targetMs: request.route.latencyTargetMs,
      longestPauseMs: Math.round(longestPauseMs),
      pauseTargetMs: request.route.gapTargetMs,
      attempts: sent + unsent,
    });
  }

  /** The request ended without a whole answer. */
  ended(
    event: UnansweredEnd,
    code: string,
    { sent, unsent }: Progress,
    facts: Facts,
  ): void {
    const { context, request } = this;
    const { priority } = this.#labels;
    context.metrics.requests.inc({ ...this.#labels, outcome: event });
    if (event === 'requestRefused') {
      context.metrics.refusals.inc({ code, priority });
    }
    context.log.write(event, {
      request: request.id,
      route: request.route.id,
      priority: request.priority,
      organisation: request.organisation,
      promptTokens: request.prompt?.promptTokens ?? 0,
      code,
      afterMs: Math.round(context.clock() - request.arrivedMs),
      attempts: sent + unsent,
      ...facts,
    });
  }
}
