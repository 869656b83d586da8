import type { Blackboard } from '../blackboard/Blackboard.js';
import { queueOf } from '../blackboard/Blackboard.js';
import type { RequestRecord } from '../blackboard/RoutedRequest.js';
import type {
  AttemptFailure,
  RecoveryPolicy,
  RecoveryVerdict,
} from '../policies/recovery/RecoveryPolicy.js';
import { endCode } from '../util/endCode.js';
import { explain } from '../util/explain.js';
import { poolKey } from '../util/poolKey.js';
import type { BackendController } from './BackendController.js';
import type { DispatchController } from './DispatchController.js';

/** Which running requests are cancelled and dispatched again. */
export interface RecoveryOptions {
  /** Whether attempts without progress are treated as failed. */
  readonly detectSilence: boolean;
  /** Whether requests are moved from stragglers to faster servers. */
  readonly migrateFromStragglers: boolean;
}

/** Minimum time without tokens after which a started response counts as silent. */
const MIN_SILENCE_MS = 750;
/** That time as a multiple of the server's time between tokens, if longer. */
const SILENCE_GAP_FACTOR = 10;
/** Minimum time without a first token after which an attempt counts as silent. */
const MIN_FIRST_TOKEN_SILENCE_MS = 2000;
/** That time as a multiple of the server's time to first token, if longer. */
const FIRST_TOKEN_SILENCE_FACTOR = 4;
/**
 * Time without a response after which a service counts as silent, as a multiple of the
 * first-token target of the class.
 */
const SERVICE_SILENCE_FACTOR = 8;
/** Minimum of that time. */
const MIN_SERVICE_SILENCE_MS = 5000;
/**
 * Longest silence of a server that may be sound, in milliseconds. Until then, an attempt is
 * given up only if another server can take over.
 */
const MAX_SOUND_SILENCE_MS = 2500;
/** What is known about an attempt at a silent server. */
const SILENT: AttemptFailure = { ran: 'maybe', reason: 'silent' };
/** Remaining tokens below which a request is not worth migrating. */
const MIN_TOKENS_LEFT_TO_MIGRATE = 24;
/** Number of attempts from which a request is not migrated any more. */
const MAX_ATTEMPTS_TO_MIGRATE = 2;

/** Handles attempts that failed, make no progress or run on a straggler. */
export class RecoveryController {
  constructor(
    private readonly board: Blackboard,
    private readonly recovery: RecoveryPolicy,
    private readonly dispatch: DispatchController,
    private readonly backends: BackendController,
    private readonly options: RecoveryOptions,
  ) {}

  /**
   * Resumes, retries or fails a request whose attempt failed.
   *
   * @param record - the request; the slot of its attempt is already free
   * @param failure - what is known about the failure
   * @param decided - what follows, if that was decided before; see `decideSilent`
   * @returns whether the request was queued again
   */
  onFailed(
    record: RequestRecord,
    failure: AttemptFailure,
    decided?: RecoveryVerdict,
  ): boolean {
    const { board } = this;
    const { attempt } = record;
    if (!attempt) {
      return false;
    }
    this.backends.onFailure(attempt.backendServer);
    record.failedOn.add(attempt.backendServer);
    record.possiblyRunAttempts += failure.ran === 'no' ? 0 : 1;
    const verdict = decided ?? this.recovery(record, failure);
    if (verdict === 'fail') {
      this.#fail(record);
      return false;
    }
    this.#explainNextAttempt(record, verdict);
    this.#requeue(record);
    board.requests.set(record.request.id, record);
    return true;
  }

  /** @returns running requests whose attempt has made no progress for too long */
  findSilent(): readonly RequestRecord[] {
    if (!this.options.detectSilence) {
      return [];
    }
    const nowMs = this.board.clock();
    return this.#running().filter(
      record => nowMs - record.lastProgressAtMs > this.#silenceBoundMs(record),
    );
  }

  /**
   * Decides what follows an attempt at a silent server, before it is cancelled.
   *
   * All attempts at a silent server are found at about the same moment, and compete for
   * retries and places. The server may be sound and go on.
   *
   * @param record - one of the requests that `findSilent` returned
   * @returns the verdict, to be passed to `onFailed` in the same turn; null if the attempt
   *   is to stay
   */
  decideSilent(record: RequestRecord): RecoveryVerdict | null {
    const silentMs = this.board.clock() - record.lastProgressAtMs;
    if (silentMs > MAX_SOUND_SILENCE_MS) {
      return this.recovery(this.#afterSilence(record), SILENT);
    }
    if (
      this.dispatch.chooseServer(this.#afterSilence(record)).view === undefined
    ) {
      return null;
    }
    const verdict = this.recovery(this.#afterSilence(record), SILENT);
    return verdict === 'fail' ? null : verdict;
  }

  /** A request as it would be once its attempt at a silent server has failed. */
  #afterSilence(record: RequestRecord): RequestRecord {
    const { attempt, failedOn, possiblyRunAttempts } = record;
    return {
      ...record,
      failedOn: new Set([
        ...failedOn,
        ...(attempt ? [attempt.backendServer] : []),
      ]),
      possiblyRunAttempts: possiblyRunAttempts + 1,
    };
  }

  /** @returns running requests on stragglers that another server can take over */
  findMigratable(): readonly RequestRecord[] {
    if (!this.options.migrateFromStragglers) {
      return [];
    }
    return this.#running().filter(record => this.#isMigratable(record));
  }

  /** Queues a request again whose attempt on a straggler was cancelled. */
  requeueMigrated(record: RequestRecord): void {
    this.#requeue(record);
  }

  #requeue(record: RequestRecord): void {
    record.state = 'queued';
    record.attempt = null;
    const pool = poolKey(record.request.target);
    queueOf(this.board, pool).pushDisplaced(record, this.board.clock());
  }

  #fail(record: RequestRecord): void {
    const code = endCode(record, 'backendNotRun');
    if (record.attempt) {
      explain(this.board, record, {
        kind: 'failed',
        backendServer: record.attempt.backendServer,
        code,
        tokensDelivered: record.tokensDelivered,
      });
    }
    this.board.effects.refuse(record, {
      code,
      retryAfterMs: 0,
      predictedWaitMs: 0,
      budgetMs: 0,
    });
  }

  #explainNextAttempt(
    record: RequestRecord,
    verdict: 'resume' | 'retry',
  ): void {
    const { attempt } = record;
    if (!attempt) {
      return;
    }
    const { backendServer } = attempt;
    const budgetLeft = this.board.retryCredits.get(record.rules.id) ?? 0;
    explain(
      this.board,
      record,
      verdict === 'resume'
        ? {
            kind: 'resumed',
            backendServer,
            fromToken: record.tokensDelivered,
            attempt: record.attempts,
          }
        : {
            kind: 'retried',
            backendServer,
            attempt: record.attempts,
            budgetLeft,
          },
    );
  }

  #running(): readonly RequestRecord[] {
    return [...this.board.requests.values()].filter(
      ({ state }) => state === 'running',
    );
  }

  /**
   * Time without progress after which an attempt counts as silent, in milliseconds.
   *
   * A connection can stay open although no data arrives any more, so silence is detected
   * by lack of progress. The bound depends on the server's time between tokens after the
   * first token, and on the latency target and the server's time to first token before it.
   */
  #silenceBoundMs(record: RequestRecord): number {
    const { rules, request, attempt } = record;
    if (request.target.kind === 'service') {
      return Math.max(
        MIN_SERVICE_SILENCE_MS,
        rules.firstTokenTargetMs * SERVICE_SILENCE_FACTOR,
      );
    }
    const view = attempt && this.board.backends.get(attempt.backendServer);
    if (record.attemptHasTokens) {
      const paceMs = view?.betweenTokensMs ?? 0;
      return Math.max(MIN_SILENCE_MS, paceMs * SILENCE_GAP_FACTOR);
    }
    return Math.max(
      MIN_FIRST_TOKEN_SILENCE_MS,
      rules.firstTokenTargetMs,
      (view?.firstTokenMs ?? 0) * FIRST_TOKEN_SILENCE_FACTOR,
    );
  }

  #isMigratable(record: RequestRecord): boolean {
    const { attempt, request } = record;
    const view = attempt && this.board.backends.get(attempt.backendServer);
    const isEngine = request.target.kind === 'engine';
    if (!isEngine || !view?.straggler || !request.idempotent) {
      return false;
    }
    const left = record.expectedTokens - record.tokensDelivered;
    return (
      record.attempts < MAX_ATTEMPTS_TO_MIGRATE &&
      record.tokensDelivered > 0 &&
      left >= MIN_TOKENS_LEFT_TO_MIGRATE &&
      this.dispatch.chooseServer(record).view !== undefined
    );
  }
}
