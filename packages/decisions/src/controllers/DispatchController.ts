import type { BackendView } from '../blackboard/BackendView.js';
import type { Blackboard } from '../blackboard/Blackboard.js';
import { loadOf, queueOf } from '../blackboard/Blackboard.js';
import type { ClassQueue } from '../blackboard/ClassQueue.js';
import type {
  OrderingPolicy,
  RequestQueue,
} from '../blackboard/RequestQueue.js';
import type { Attempt, RequestRecord } from '../blackboard/RoutedRequest.js';
import type { ConcurrencyPolicy } from '../policies/concurrency/ConcurrencyPolicy.js';
import type {
  RoutingChoice,
  RoutingPolicy,
} from '../policies/routing/RoutingPolicy.js';
import { explain } from '../util/explain.js';
import { poolKey } from '../util/poolKey.js';

const MAX_PREFIXES_PER_SERVER = 512;
/** Maximum credit of a class, as a multiple of its mean queued request. */
const MAX_CREDIT_REQUESTS = 2;

/** Policies that control the dispatch of queued requests. */
export interface DispatchPolicies {
  readonly ordering: OrderingPolicy;
  readonly routing: RoutingPolicy;
  readonly concurrency: ConcurrencyPolicy;
}

function recordPrefix(view: BackendView, record: RequestRecord): void {
  const { prefixHash, promptTokens } = record.request;
  view.prefixes.delete(prefixHash);
  view.prefixes.set(prefixHash, promptTokens);
  if (view.prefixes.size > MAX_PREFIXES_PER_SERVER) {
    const [oldest] = view.prefixes.keys();
    view.prefixes.delete(oldest ?? prefixHash);
  }
}

/**
 * Adds credit for the guaranteed share of each waiting class that was not served, and
 * deducts the cost from the class that was.
 *
 * @param queue - queue of the pool
 * @param served - class that was served
 * @param cost - expected tokens of the dispatched request
 */
function accrueCredit(queue: RequestQueue, served: ClassQueue, cost: number) {
  queue.classes
    .filter(other => other !== served && other.length > 0)
    .forEach(other => {
      const cap =
        (MAX_CREDIT_REQUESTS * other.queuedTokens) / Math.max(1, other.length);
      const owed = other.credit + other.rules.guaranteedShare * cost;
      other.credit = Math.min(cap, owed);
    });
  served.credit = Math.max(0, served.credit - cost);
}

/** Dispatches queued requests to backend servers as slots become free. */
export class DispatchController {
  constructor(
    private readonly board: Blackboard,
    private readonly policies: DispatchPolicies,
  ) {}

  /** Dispatches from the queue of one pool until no request can be dispatched. */
  dispatchFromPool(pool: string): void {
    const queue = queueOf(this.board, pool);
    const views = this.board.pools.get(pool) ?? [];
    let sent = true;
    while (sent) {
      sent =
        this.#dispatchDisplaced(queue, views) ||
        this.#dispatchQueued(queue, views);
    }
  }

  /** Chooses a server for a request without dispatching it. */
  chooseServer(record: RequestRecord): RoutingChoice {
    const views = this.board.pools.get(poolKey(record.request.target)) ?? [];
    return this.#route(record, views);
  }

  #route(record: RequestRecord, views: readonly BackendView[]): RoutingChoice {
    const { routing, concurrency } = this.policies;
    return routing(record, views, concurrency.slots);
  }

  #dispatchDisplaced(
    queue: RequestQueue,
    views: readonly BackendView[],
  ): boolean {
    const record = queue.peekDisplaced();
    if (!record || !this.#hasFreeSlot(record, views)) {
      return false;
    }
    const choice = this.#route(record, views);
    if (!choice.view) {
      return false;
    }
    queue.shiftDisplaced();
    this.#start(record, choice, choice.view, false);
    return true;
  }

  #dispatchQueued(queue: RequestQueue, views: readonly BackendView[]): boolean {
    const next = this.policies.ordering(queue.classes);
    const record = next?.queue.peek();
    if (!next || !record) {
      return false;
    }
    const { concurrency } = this.policies;
    if (!this.#hasFreeSlot(record, views)) {
      return false;
    }
    if (!next.guaranteed && !concurrency.mayStart(record, views)) {
      return false;
    }
    const choice = this.#route(record, views);
    if (!choice.view) {
      return false;
    }
    next.queue.shift();
    accrueCredit(queue, next.queue, record.expectedTokens);
    this.#start(record, choice, choice.view, next.guaranteed);
    return true;
  }

  /** Cheap check that avoids running the routing policy when all servers are full. */
  #hasFreeSlot(record: RequestRecord, views: readonly BackendView[]): boolean {
    const { slots } = this.policies.concurrency;
    return views.some(view => view.inFlight < slots(view, record));
  }

  #start(
    record: RequestRecord,
    choice: RoutingChoice,
    view: BackendView,
    guaranteed: boolean,
  ): void {
    const { board } = this;
    const nowMs = board.clock();
    const attempt: Attempt = {
      number: record.attempts + 1,
      backendServer: view.server.id,
      dispatchedAtMs: nowMs,
      resumeFrom: record.tokensDelivered,
    };
    const queuedMs = nowMs - record.lastProgressAtMs;
    record.attempts = attempt.number;
    record.attempt = attempt;
    record.state = 'running';
    record.attemptHasTokens = false;
    record.lastProgressAtMs = nowMs;
    this.#takeSlot(view, record);
    explain(board, record, {
      kind: 'routed',
      backendServer: view.server.id,
      candidates: board.effects.needsCandidates() ? choice.candidates() : [],
      queuedMs,
      guaranteed,
    });
    board.effects.dispatch(record, attempt);
  }

  #takeSlot(view: BackendView, record: RequestRecord): void {
    const { rules } = record;
    view.inFlight += 1;
    loadOf(this.board, poolKey(record.request.target)).inFlight[rules.tier] +=
      1;
    view.tightestFirstTokenMs = Math.min(
      view.tightestFirstTokenMs,
      rules.firstTokenTargetMs,
    );
    view.tightestBetweenTokensMs = Math.min(
      view.tightestBetweenTokensMs,
      rules.betweenTokensTargetMs,
    );
    recordPrefix(view, record);
  }
}
