import type {
  BackendServerId,
  Configuration,
  RequestId,
} from '@jujubecroft/types';

import type { LoadReport } from './blackboard/BackendView.js';
import type {
  Blackboard,
  CancelReason,
  Placement,
} from './blackboard/Blackboard.js';
import { loadOf, queueOf } from './blackboard/Blackboard.js';
import type {
  RequestRecord,
  RoutedRequest,
} from './blackboard/RoutedRequest.js';
import { AdmissionController } from './controllers/AdmissionController.js';
import { BackendController } from './controllers/BackendController.js';
import { ConfigurationController } from './controllers/ConfigurationController.js';
import { DispatchController } from './controllers/DispatchController.js';
import { ProgressController } from './controllers/ProgressController.js';
import type { RecoveryOptions } from './controllers/RecoveryController.js';
import { RecoveryController } from './controllers/RecoveryController.js';
import type { AdmissionPolicy } from './policies/admission/AdmissionPolicy.js';
import type { DispatchPolicies } from './controllers/DispatchController.js';
import type {
  AttemptFailure,
  RecoveryPolicy,
  RecoveryVerdict,
} from './policies/recovery/RecoveryPolicy.js';
import { endCode } from './util/endCode.js';
import { explain } from './util/explain.js';
import { poolKey } from './util/poolKey.js';

/** The policies of one router. */
export interface RouterPolicies extends DispatchPolicies {
  readonly admission: AdmissionPolicy;
  readonly recovery: RecoveryPolicy;
}

/** Settings of one router, besides its policies. */
export interface RouterOptions extends RecoveryOptions {
  /** Maximum number of servers that one instance uses per pool. */
  readonly subsetSize: number;
  /**
   * Number of servers that one instance uses over all pools; exceeded if a pool would
   * otherwise have too few servers.
   */
  readonly serverBudget: number;
}

/** Retry-after for a request that waited in the queue for too long. */
const EXPIRED_RETRY_AFTER_MS = 1000;

/**
 * Decision logic of one instance. A host passes it events and executes its effects. The
 * router performs no I/O and sets no timers; the host calls `tick` periodically.
 */
export class Router {
  readonly #admission: AdmissionController;
  readonly #backends: BackendController;
  readonly #configuration: ConfigurationController;
  readonly #dispatch: DispatchController;
  readonly #progress: ProgressController;
  readonly #recovery: RecoveryController;

  constructor(
    readonly board: Blackboard,
    policies: RouterPolicies,
    options: RouterOptions,
  ) {
    this.#admission = new AdmissionController(board, policies.admission);
    this.#backends = new BackendController(board, policies.concurrency);
    this.#configuration = new ConfigurationController(
      board,
      options.subsetSize,
      options.serverBudget,
    );
    this.#dispatch = new DispatchController(board, policies);
    this.#progress = new ProgressController(board);
    this.#recovery = new RecoveryController(
      board,
      policies.recovery,
      this.#dispatch,
      this.#backends,
      options,
    );
  }

  /** @returns whether the configuration is newer and was applied */
  configure(cfg: Configuration): boolean {
    const changed = this.#configuration.configure(cfg);
    this.#dispatchAll();
    return changed;
  }

  /** Applies a change of the identity of this instance or of the live instances. */
  setPlacement(placement: Placement): void {
    this.#configuration.setPlacement(placement);
    this.#dispatchAll();
  }

  /** Submits a validated request; the outcome is reported through the effects. */
  submit(request: RoutedRequest): void {
    if (this.#admission.submit(request)) {
      this.#dispatch.dispatchFromPool(poolKey(request.target));
    }
  }

  /**
   * Reports tokens received from an attempt.
   *
   * @param id - the request
   * @param attempt - number of the attempt
   * @param tokens - number of tokens since the last call; at least 1
   * @returns false if the attempt is not the current one; its tokens must not reach the
   *   caller
   */
  onTokens(id: RequestId, attempt: number, tokens: number): boolean {
    const record = this.#currentRecord(id, attempt);
    if (!record) {
      return false;
    }
    this.#progress.onTokens(record, tokens);
    return true;
  }

  /**
   * Reports that an attempt delivered its complete response.
   *
   * @returns false if the attempt is not the current one
   */
  onFinished(id: RequestId, attempt: number): boolean {
    const record = this.#currentRecord(id, attempt);
    if (!record) {
      return false;
    }
    this.#progress.onFinished(record);
    this.#freeSlot(record);
    this.#end(record);
    this.#dispatch.dispatchFromPool(poolKey(record.request.target));
    return true;
  }

  /** Reports that an attempt failed; failures of earlier attempts are ignored. */
  onFailed(id: RequestId, attempt: number, failure: AttemptFailure): void {
    const record = this.#currentRecord(id, attempt);
    if (record) {
      this.#fail(record, failure);
    }
  }

  #fail(
    record: RequestRecord,
    failure: AttemptFailure,
    decided?: RecoveryVerdict,
  ): void {
    this.#freeSlot(record);
    if (!this.#recovery.onFailed(record, failure, decided)) {
      this.#end(record);
    }
    this.#dispatch.dispatchFromPool(poolKey(record.request.target));
  }

  /** Reports that the caller closed its connection. */
  onCallerLeft(id: RequestId): void {
    const record = this.board.requests.get(id);
    if (!record || record.state === 'ended') {
      return;
    }
    explain(this.board, record, {
      kind: 'cancelled',
      backendServer: record.attempt?.backendServer ?? null,
      reason: 'callerLeft',
      tokensDelivered: record.tokensDelivered,
    });
    if (record.state === 'running') {
      this.#cancelAttempt(record, 'callerLeft');
    } else {
      this.#releaseFromClassQueue(record);
    }
    this.#end(record);
    this.#dispatch.dispatchFromPool(poolKey(record.request.target));
  }

  /** Reports the load of a backend server. */
  onReport(id: BackendServerId, report: LoadReport): void {
    this.#backends.onReport(id, report);
  }

  /** Performs the periodic work; the host calls it about ten times a second. */
  tick(): void {
    this.#backends.tick();
    this.#failSilent();
    this.#migrate();
    this.#refuseExpired();
    this.#dispatchAll();
  }

  #failSilent(): void {
    this.#recovery.findSilent().forEach(record => {
      const { attempt } = record;
      const verdict = attempt && this.#recovery.decideSilent(record);
      if (verdict) {
        this.board.effects.cancel(record, attempt, 'silent');
        this.#fail(record, { ran: 'maybe', reason: 'silent' }, verdict);
      }
    });
  }

  #migrate(): void {
    this.#recovery.findMigratable().forEach(record => {
      explain(this.board, record, {
        kind: 'cancelled',
        backendServer: record.attempt?.backendServer ?? null,
        reason: 'migrated',
        tokensDelivered: record.tokensDelivered,
      });
      this.#cancelAttempt(record, 'migrated');
      this.#recovery.requeueMigrated(record);
      this.#dispatch.dispatchFromPool(poolKey(record.request.target));
    });
  }

  #refuseExpired(): void {
    const nowMs = this.board.clock();
    this.board.queues.forEach(queue => {
      queue.takeExpired(nowMs).forEach(record => {
        this.#releaseFromClassQueue(record);
        this.#end(record);
        this.#admission.refuse(record, {
          code: endCode(record, 'queueWaitExceeded'),
          retryAfterMs: EXPIRED_RETRY_AFTER_MS,
          predictedWaitMs: nowMs - record.arrivedAtMs,
          budgetMs: record.rules.maxQueueMs,
        });
      });
    });
  }

  #dispatchAll(): void {
    this.board.queues.forEach((queue, pool) => {
      if (queue.length > 0) {
        this.#dispatch.dispatchFromPool(pool);
      }
    });
  }

  #currentRecord(id: RequestId, attempt: number): RequestRecord | undefined {
    const record = this.board.requests.get(id);
    return record?.state === 'running' && record.attempt?.number === attempt
      ? record
      : undefined;
  }

  #cancelAttempt(record: RequestRecord, reason: CancelReason): void {
    if (record.attempt) {
      this.board.effects.cancel(record, record.attempt, reason);
    }
    this.#freeSlot(record);
  }

  #freeSlot(record: RequestRecord): void {
    const { backends, cfg } = this.board;
    const pool = poolKey(record.request.target);
    loadOf(this.board, pool).inFlight[record.rules.tier] -= 1;
    const view = record.attempt && backends.get(record.attempt.backendServer);
    if (!view) {
      return;
    }
    view.inFlight -= 1;
    const { id } = view.server;
    if (view.inFlight === 0 && !cfg.backendServers.some(s => s.id === id)) {
      backends.delete(id);
    }
  }

  /**
   * Subtracts a queued request from the counts of its class queue. Requests that were
   * dispatched before wait outside the class queues and are not counted there.
   */
  #releaseFromClassQueue(record: RequestRecord): void {
    if (record.attempts > 0) {
      return;
    }
    const pool = poolKey(record.request.target);
    queueOf(this.board, pool).classQueue(record).release(record);
  }

  #end(record: RequestRecord): void {
    record.state = 'ended';
    this.board.requests.delete(record.request.id);
  }
}
