import type { ResultCodeId } from '@jujubecroft/types';

import type { Blackboard } from '../blackboard/Blackboard.js';
import { queueOf } from '../blackboard/Blackboard.js';
import type { RequestRecord } from '../blackboard/RoutedRequest.js';
import type {
  AttemptFailure,
  RecoveryPolicy,
} from '../policies/recovery/RecoveryPolicy.js';
import { explain } from '../util/explain.js';
import { poolKey } from '../util/poolKey.js';
import type { BackendController } from './BackendController.js';
import type { DispatchController } from './DispatchController.js';

/** When a running request counts as silent or as worth moving. */
export interface RecoveryOptions {
  readonly detectSilence: boolean;
  readonly migrateFromStragglers: boolean;
}

const MIN_SILENCE_MS = 750;
const SILENCE_GAP_FACTOR = 10;
const MIN_FIRST_TOKEN_SILENCE_MS = 2000;
const FIRST_TOKEN_SILENCE_FACTOR = 4;
const SERVICE_SILENCE_FACTOR = 8;
const MIN_SERVICE_SILENCE_MS = 5000;
const MIN_TOKENS_LEFT_TO_MIGRATE = 24;
const MAX_ATTEMPTS_TO_MIGRATE = 2;

function failureCode(
  record: RequestRecord,
  failure: AttemptFailure,
): ResultCodeId {
  if (record.tokensDelivered > 0) {
    return 'streamCut';
  }
  return failure.ran === 'no' ? 'backendNotRun' : 'backendMaybeRan';
}

/** Deals with attempts that failed, fell silent or crawl. */
export class RecoveryController {
  constructor(
    private readonly board: Blackboard,
    private readonly recovery: RecoveryPolicy,
    private readonly dispatch: DispatchController,
    private readonly backends: BackendController,
    private readonly options: RecoveryOptions,
  ) {}

  /**
   * Resumes, retries or ends a request whose attempt failed.
   *
   * @param record - the request; its attempt no longer occupies the server
   * @param failure - what is certain about the failure
   * @returns whether the request goes on
   */
  onFailed(record: RequestRecord, failure: AttemptFailure): boolean {
    const { board } = this;
    const { attempt } = record;
    if (!attempt) {
      return false;
    }
    this.backends.onFailure(attempt.backendServer);
    record.failedOn.add(attempt.backendServer);
    const verdict = this.recovery(record, failure);
    if (verdict === 'fail') {
      this.#fail(record, failure);
      return false;
    }
    this.#explainNextAttempt(record, verdict);
    this.#requeue(record);
    board.requests.set(record.request.id, record);
    return true;
  }

  /** @returns running requests whose attempt made no progress for too long */
  findSilent(): readonly RequestRecord[] {
    if (!this.options.detectSilence) {
      return [];
    }
    const nowMs = this.board.clock();
    return this.#running().filter(
      record => nowMs - record.lastProgressAtMs > this.#silenceBoundMs(record),
    );
  }

  /** @returns running requests on stragglers that a faster server could take over */
  findMigratable(): readonly RequestRecord[] {
    if (!this.options.migrateFromStragglers) {
      return [];
    }
    return this.#running().filter(record => this.#isMigratable(record));
  }

  /** Puts a request that left a straggler back in line. */
  requeueMigrated(record: RequestRecord): void {
    this.#requeue(record);
  }

  #requeue(record: RequestRecord): void {
    record.state = 'queued';
    record.attempt = null;
    const pool = poolKey(record.request.target);
    queueOf(this.board, pool).pushDisplaced(record, this.board.clock());
  }

  #fail(record: RequestRecord, failure: AttemptFailure): void {
    const code = failureCode(record, failure);
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
   * A connection can stay open while nothing comes through it any more, so
   * silence is judged by progress: against the pace of the server once tokens
   * flow, against the target before the first one.
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
