import type {
  AttemptResult,
  GatewayAttempt,
  GatewayRequest,
  Recovery,
  WithdrawReason,
} from '@jujubecroft/decisions';
import {
  determineViewState,
  isIdempotent,
  viewAgeMs,
} from '@jujubecroft/decisions';
import { formatStoreVersion } from '@jujubecroft/types';

import type { GatewayContext } from '../GatewayContext.js';
import type { RelayedConnection } from '../relay/RelayedConnection.js';
import { faultOf } from '../responses/InvalidResponseError.js';
import type { CallerResponse } from './CallerResponse.js';
import type { LogFields } from './logFields.js';
import {
  configurationFields,
  continuityOf,
  evidenceFields,
  responseFields,
  resumptionFields,
  speedFields,
  versionFields,
} from './logFields.js';
import type { ResponseProgress } from './ResponseAssembler.js';
import { WithdrawalRecorder } from './WithdrawalRecorder.js';

/** Outcomes of a request without a complete response. */
export type UnansweredOutcome = 'callerLeft' | 'requestCut' | 'requestRefused';

/** Progress of a request over all its attempts. */
export interface RequestProgress {
  /** Attempts of which some bytes may have left this instance. */
  readonly sent: number;
  /** Attempts that failed before anything was sent. */
  readonly unsent: number;
  /**
   * Reading of the clock at the first byte, in milliseconds; null before it
   * arrived.
   */
  readonly firstByteMs: number | null;
  /** Longest pause between two chunks of the response, in milliseconds. */
  readonly longestPauseMs: number;
}

/**
 * What follows an attempt without a response for the caller: a recovery, or another attempt
 * that began before it ended and goes on (`moved`), or that it was to relieve (`kept`).
 */
export type NextStep = Recovery['kind'] | 'kept' | 'moved';

/** How a failed attempt was sent. */
interface FailedSend {
  /** Attempts of the request of which some bytes may have left this instance. */
  readonly sent: number;
  /** Whether the attempt used a connection that had served another request. */
  readonly reused: boolean;
}

const MS_PER_SECOND = 1000;
/**
 * Age of the view from which a send is logged by itself, as a share of the time within
 * which a change must be in force.
 */
const OLD_VIEW_SHARE = 0.5;

/** Logs the events of one request and counts them in the metrics. */
export class RequestRecorder {
  readonly #labels: { readonly kind: string; readonly priority: string };
  /** When the last attempt was checked and sent, in milliseconds; null before. */
  #sendingMs: number | null = null;
  /** Progress of the latest response at its end; null if there was none. */
  #response: ResponseProgress | null = null;

  readonly #withdrawals: WithdrawalRecorder;

  constructor(
    private readonly context: GatewayContext,
    private readonly request: GatewayRequest,
    private readonly answer: Pick<CallerResponse, 'bodyBytes' | 'hasStarted'>,
  ) {
    this.#withdrawals = new WithdrawalRecorder(context, request, answer);
    this.#labels = {
      kind: request.route.kind,
      priority: String(request.priority),
    };
  }

  /** Records that an attempt was placed at a replica. */
  placed(attempt: GatewayAttempt, candidates: number): void {
    const { context, request } = this;
    const { board } = context.router;
    this.#countContinued(attempt);
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
      ...speedFields(board, attempt),
      ...versionFields(request, attempt),
      inFlight: attempt.load.totalInFlight,
      candidates,
      replicasVersion: formatStoreVersion(board.replicas.version),
      replicasAgeMs: Math.round(board.replicas.ageMs),
      configuration: board.table?.cfg.version,
      leftMs: Math.round(request.deadlineMs - context.clock()),
    });
  }

  /** Counts an attempt that continues a stream of which the caller has events. */
  #countContinued(attempt: GatewayAttempt): void {
    const { request, context } = this;
    const { binding, resumption, service } = request;
    if (resumption !== null || binding?.isBound === true) {
      context.metrics.continuedStreams.inc({
        service: service.id,
        by: attempt.number > 1 ? 'instance' : 'caller',
        version: continuityOf(request, attempt),
      });
    }
  }

  /** Records that an attempt has passed the last check and is being sent. */
  sending(attempt: GatewayAttempt, relay: RelayedConnection | null): void {
    const { context, request } = this;
    const { board } = context.router;
    const { replica } = attempt.load;
    const { freshWithinMs } = context.settings;
    const ageMs = viewAgeMs(board);
    const state = determineViewState(board, freshWithinMs);
    const isOld = ageMs > OLD_VIEW_SHARE * freshWithinMs;
    this.#sendingMs = context.clock();
    if (relay) {
      context.metrics.relayed.inc({ service: request.service.id });
      context.log.write('requestRelayed', {
        request: request.id,
        backendServer: replica.id,
        ...relay,
      });
    }
    context.metrics.sends.inc({
      view: state === 'current' && isOld ? 'old' : state,
    });
    if (isOld) {
      context.log.write('sentOnOldView', {
        request: request.id,
        backendServer: replica.id,
        bornMs: replica.bornMs,
        rowVersion: formatStoreVersion(board.replicas.rowVersionOf(replica.id)),
        replicasVersion: formatStoreVersion(board.replicas.version),
        replicasAgeMs: Math.round(board.replicas.ageMs),
        viewAgeMs: Math.round(ageMs),
        state,
        confirmedBy: board.replicasConfirmedBy,
      });
    }
  }

  /** Records that an attempt is withdrawn; null if the request waits for one. */
  withdrawn(attempt: GatewayAttempt | null, reason: WithdrawReason): void {
    this.#withdrawals.note(attempt, reason);
  }

  /** Records the first byte of a response. */
  firstByte({ sentMs, predictedMs }: GatewayAttempt): void {
    const { context, request } = this;
    const service = request.service.id;
    const nowMs = context.clock();
    context.metrics.predictionError.observe(
      { service },
      nowMs - sentMs - predictedMs,
    );
    if (this.#sendingMs !== null) {
      context.metrics.sendToFirstByte.observe(
        { service },
        (nowMs - this.#sendingMs) / MS_PER_SECOND,
      );
    }
  }

  /** Records that the replica of an attempt announced its leave. */
  leaveAnnounced({ load: { replica } }: GatewayAttempt): void {
    this.context.log.write('leaveAnnounced', {
      request: this.request.id,
      backendServer: replica.id,
      service: replica.service,
    });
  }

  /** Records that the replica of an attempt requested a pause. */
  pauseRequested({ load: { replica } }: GatewayAttempt, pauseMs: number): void {
    this.context.log.write('pauseRequested', {
      request: this.request.id,
      backendServer: replica.id,
      service: replica.service,
      pauseMs,
    });
  }

  /** Records how far the response of an attempt came. */
  responseEnded(
    attempt: GatewayAttempt,
    result: AttemptResult,
    progress: ResponseProgress | null,
  ): void {
    this.#response = progress;
    if (progress) {
      this.context.metrics.responses.inc({
        service: attempt.request.service.id,
        framing: progress.framing,
        end: progress.isInsideEvent ? 'insideEvent' : result.kind,
      });
    }
  }

  /** Records bytes that are no response to an attempt, or could not be processed. */
  invalidResponse(
    { request, load: { replica } }: GatewayAttempt,
    error: Error,
  ): void {
    const { metrics, log } = this.context;
    const fault = faultOf(error);
    const service = request.service.id;
    metrics.invalidResponses.inc({ service, fault });
    log.write('responseInvalid', {
      request: request.id,
      backendServer: replica.id,
      fault,
      error: fault === 'unexpected' ? error.stack : error.message,
    });
  }

  /** Counts an attempt that begins while the one at a silent replica goes on. */
  moving(): void {
    const service = this.request.service.id;
    this.context.metrics.retries.inc({ service, after: 'withdrawn' });
  }

  /** Records an attempt without a response for the caller. */
  failed(
    attempt: GatewayAttempt,
    result: AttemptResult,
    next: NextStep,
    { sent, reused }: FailedSend,
  ): void {
    const { context, request } = this;
    const { load, softwareVersion } = attempt;
    const service = request.service.id;
    if (next === 'retry') {
      context.metrics.retries.inc({ service, after: result.kind });
    }
    context.log.write('attemptFailed', {
      request: request.id,
      fingerprint: request.fingerprint(),
      ...evidenceFields(context.router.board, attempt, result),
      backendServer: load.replica.id,
      softwareVersion,
      result: result.kind,
      ...('reason' in result ? { reason: result.reason } : {}),
      ...('status' in result ? { status: result.status } : {}),
      ...responseFields(this.#response),
      next,
      sent,
      reused,
      ...(request.binding ? { hasEvents: request.binding.isBound } : {}),
      budgetLeft: Math.floor(context.router.board.budget.left(service)),
      idempotent: isIdempotent(request.route),
    });
  }

  /** Records that the caller received a complete response. */
  answered(status: number, progress: RequestProgress): void {
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
      ...responseFields(this.#response),
    });
  }

  /** Counts a request that is beyond the share of its organisation. */
  heldBack(): void {
    const { metrics } = this.context;
    const service = this.request.service.id;
    metrics.heldBack.inc({ service, priority: this.#labels.priority });
  }

  /** Records a request that ended without a complete response. */
  ended(
    event: UnansweredOutcome,
    code: string,
    { sent, unsent }: RequestProgress,
    facts: LogFields,
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
      ...resumptionFields(request.resumption),
      code,
      afterMs: Math.round(context.clock() - request.arrivedMs),
      attempts: sent + unsent,
      bodyBytes: this.answer.bodyBytes,
      ...this.#withdrawals.lastFields,
      ...configurationFields(context.router.board),
      ...facts,
    });
  }
}
