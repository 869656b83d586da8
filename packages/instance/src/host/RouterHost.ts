import { ConnectionPools, fetchLoadReport } from '@jujubecroft/backends';
import type {
  Attempt,
  CancelReason,
  Placement,
  RequestRecord,
  Router,
} from '@jujubecroft/decisions';
import { createRouter } from '@jujubecroft/decisions';
import type {
  Configuration,
  RequestId,
  RouterErrorInstance,
} from '@jujubecroft/types';
import { RESULT_CODES, routerError } from '@jujubecroft/types';
import type { Refusal } from '@jujubecroft/decisions';

import type { InstanceMetrics } from '../metrics/InstanceMetrics.js';
import type { DecisionFeed } from './DecisionFeed.js';
import type { AttemptReporter, Session } from './Session.js';
import { startAttempt } from './startAttempt.js';

const TICK_INTERVAL_MS = 100;
/**
 * Load reports fetched per second, regardless of the number of backend servers.
 */
const LOAD_REPORTS_PER_SECOND = 4;
const MS_PER_SECOND = 1000;

function createRefusalError(refusal: Refusal): RouterErrorInstance {
  const { code, retryAfterMs } = refusal;
  return routerError(code, RESULT_CODES[code].summary, {
    retryAfterMs: Math.round(retryAfterMs),
  });
}

/**
 * Drives the router in real time and carries out its effects, such as attempts
 * at backend servers.
 */
export class RouterHost {
  readonly router: Router;
  readonly #pools = new ConnectionPools();
  readonly #sessions = new Map<RequestId, Session>();
  readonly #timers: NodeJS.Timeout[] = [];
  #resolveIdle: (() => void) | null = null;
  #reportIndex = 0;

  constructor(
    placement: Placement,
    random: () => number,
    private readonly feed: DecisionFeed,
    private readonly metrics: InstanceMetrics,
  ) {
    this.router = createRouter({
      clock: () => Date.now(),
      random,
      placement,
      effects: {
        dispatch: (record, attempt) => {
          this.#dispatch(record, attempt);
        },
        cancel: (record, attempt, reason) => {
          this.#cancel(record, attempt, reason);
        },
        refuse: (record, refusal) => {
          this.#refuse(record, refusal);
        },
        needsCandidates: () => this.feed.isWatched,
        explain: event => {
          this.metrics.observe(event);
          this.feed.publish(event);
        },
      },
    });
  }

  /** Number of accepted requests that have not ended. */
  get inFlight(): number {
    return this.#sessions.size;
  }

  get configuration(): Configuration {
    return this.router.board.cfg;
  }

  start(): void {
    this.#timers.push(
      setInterval(() => {
        this.router.tick();
        this.metrics.inFlight.set(this.inFlight);
      }, TICK_INTERVAL_MS),
      setInterval(() => {
        this.#fetchNextLoadReport();
      }, MS_PER_SECOND / LOAD_REPORTS_PER_SECOND),
    );
  }

  submit(session: Session): void {
    this.#sessions.set(session.request.id, session);
    this.router.submit(session.request);
  }

  callerLeft(id: RequestId): void {
    if (this.#sessions.delete(id)) {
      this.router.onCallerLeft(id);
      this.#checkIdle();
    }
  }

  /** Resolves when no accepted request is in flight. */
  whenIdle(): Promise<void> {
    return new Promise(resolve => {
      this.#resolveIdle = resolve;
      this.#checkIdle();
    });
  }

  async stop(): Promise<void> {
    this.#timers.forEach(timer => {
      clearInterval(timer);
    });
    await this.#pools.destroy();
  }

  #dispatch(record: RequestRecord, attempt: Attempt): void {
    const session = this.#sessions.get(record.request.id);
    const view = this.router.board.backends.get(attempt.backendServer);
    if (!session || !view) {
      return;
    }
    session.handle = startAttempt(
      {
        pools: this.#pools,
        server: view.server,
        attempt,
        tier: record.rules.tier,
        reporter: this.#createReporter(record.request.id),
      },
      session,
    );
  }

  #createReporter(id: RequestId): AttemptReporter {
    return {
      onTokens: (attempt, tokens) =>
        this.router.onTokens(id, attempt.number, tokens),
      onFinished: attempt => {
        const isCurrent = this.router.onFinished(id, attempt.number);
        if (isCurrent) {
          this.#end(id);
        }
        return isCurrent;
      },
      onFailed: (attempt, failure) => {
        this.router.onFailed(id, attempt.number, failure);
      },
    };
  }

  #cancel(record: RequestRecord, attempt: Attempt, reason: CancelReason): void {
    this.#sessions.get(record.request.id)?.handle?.cancel();
    if (reason === 'silent') {
      this.#pools.discardPool(attempt.backendServer);
    }
  }

  #refuse(record: RequestRecord, refusal: Refusal): void {
    const session = this.#sessions.get(record.request.id);
    this.#end(record.request.id);
    session?.sink.onRefused(createRefusalError(refusal));
  }

  #end(id: RequestId): void {
    this.#sessions.delete(id);
    this.#checkIdle();
  }

  #checkIdle(): void {
    if (this.#sessions.size === 0) {
      this.#resolveIdle?.();
    }
  }

  /**
   * Fetches the report of one backend server, in rotation, so that the cost
   * does not grow with their number.
   */
  #fetchNextLoadReport(): void {
    const servers = [
      ...new Set([...this.router.board.pools.values()].flat()),
    ].map(view => view.server);
    this.#reportIndex += 1;
    const server = servers[this.#reportIndex % servers.length];
    if (!server) {
      return;
    }
    void fetchLoadReport(this.#pools.poolFor(server)).then(report => {
      if (report) {
        this.router.onReport(server.id, report);
      }
    });
  }
}
