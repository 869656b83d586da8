import type { RequestClass } from '@jujubecroft/types';
import { assertDefined } from '@jujubecroft/types';

import type { Blackboard, Refusal } from '../blackboard/Blackboard.js';
import { loadOf, queueOf } from '../blackboard/Blackboard.js';
import type {
  RequestRecord,
  RoutedRequest,
} from '../blackboard/RoutedRequest.js';
import type { AdmissionPolicy } from '../policies/admission/AdmissionPolicy.js';
import { explain } from '../util/explain.js';
import { poolKey } from '../util/poolKey.js';

/** Retries that each admitted request adds to the credit of its class. */
const RETRY_CREDIT_PER_REQUEST = 0.2;
/** Maximum credit of a class, in retries. */
const MAX_RETRY_CREDIT = 60;
/** Credit of a class before its first request, in retries. */
const INITIAL_RETRY_CREDIT = 20;
/** Retry-after for a request whose pool has no backend server. */
const NO_SERVER_RETRY_AFTER_MS = 1000;

/**
 * Admits requests to their queues, or refuses them: checks that a backend server exists,
 * then the predicted wait, then the limits of the organisation.
 */
export class AdmissionController {
  constructor(
    private readonly board: Blackboard,
    private readonly admission: AdmissionPolicy,
  ) {}

  /**
   * Adds a request to the queue of its pool, or refuses it for good.
   *
   * @param request - a validated request whose class is declared
   * @returns the queued record; null if the request was refused
   */
  submit(request: RoutedRequest): RequestRecord | null {
    const record = this.#recordOf(request);
    const pool = poolKey(request.target);
    loadOf(this.board, pool).note(record.rules.tier, record.expectedTokens);
    const refusal = this.#check(record);
    if (refusal) {
      record.state = 'ended';
      this.refuse(record, refusal);
      return null;
    }
    this.#addRetryCredit(record.rules);
    this.board.requests.set(request.id, record);
    const queue = queueOf(this.board, pool);
    queue.push(record);
    explain(this.board, record, {
      kind: 'queued',
      queueLength: queue.length,
    });
    return record;
  }

  /** Reports a refusal to the host and publishes it as a decision. */
  refuse(record: RequestRecord, refusal: Refusal): void {
    explain(this.board, record, { kind: 'shed', ...refusal });
    this.board.effects.refuse(record, refusal);
  }

  #recordOf(request: RoutedRequest): RequestRecord {
    const { declared, lengths, clock } = this.board;
    const rules = assertDefined(
      declared.requestClasses.get(request.requestClass),
      'the host checks the class before it submits a request',
    );
    const organisation = declared.organisations.get(request.organisation);
    const maxTokens = Math.min(request.maxOutputTokens, rules.maxOutputTokens);
    const { mean } = lengths.estimate(
      request.requestClass,
      request.organisation,
      maxTokens,
    );
    const nowMs = clock();
    return {
      request,
      rules,
      arrivedAtMs: nowMs,
      expectedTokens: request.target.kind === 'engine' ? mean : 1,
      weight: organisation?.weight ?? 1,
      state: 'queued',
      budgetMs: rules.maxQueueMs,
      attempt: null,
      attempts: 0,
      possiblyRunAttempts: 0,
      tokensDelivered: 0,
      attemptHasTokens: false,
      firstTokenAtMs: null,
      lastProgressAtMs: nowMs,
      failedOn: new Set(),
    };
  }

  #check(record: RequestRecord): Refusal | null {
    return (
      this.#checkServers(record) ??
      this.#checkPrediction(record) ??
      this.#checkLimits(record)
    );
  }

  #checkServers(record: RequestRecord): Refusal | null {
    const views = this.board.pools.get(poolKey(record.request.target)) ?? [];
    if (views.some(view => !view.server.leaving)) {
      return null;
    }
    return {
      code: 'noBackendServer',
      retryAfterMs: NO_SERVER_RETRY_AFTER_MS,
      predictedWaitMs: Infinity,
      budgetMs: record.rules.maxQueueMs,
    };
  }

  #checkLimits(record: RequestRecord): Refusal | null {
    const { limits, clock } = this.board;
    const { organisation } = record.request;
    const waitMs = limits.charge(organisation, record.expectedTokens, clock());
    if (waitMs === 0) {
      return null;
    }
    return {
      code: 'organisationLimit',
      retryAfterMs: waitMs,
      predictedWaitMs: waitMs,
      budgetMs: 0,
    };
  }

  #checkPrediction(record: RequestRecord): Refusal | null {
    const { admit, ...prediction } = this.admission(record);
    if (!admit) {
      return { code: 'targetUnreachable', ...prediction };
    }
    record.budgetMs = prediction.budgetMs;
    explain(this.board, record, {
      kind: 'admitted',
      predictedWaitMs: prediction.predictedWaitMs,
      budgetMs: prediction.budgetMs,
      expectedTokens: record.expectedTokens,
    });
    return null;
  }

  #addRetryCredit({ id }: RequestClass): void {
    const { retryCredits } = this.board;
    const credit = retryCredits.get(id) ?? INITIAL_RETRY_CREDIT;
    retryCredits.set(
      id,
      Math.min(MAX_RETRY_CREDIT, credit + RETRY_CREDIT_PER_REQUEST),
    );
  }
}
