import type { ServerResponse } from 'node:http';
import type { GatewayAttempt } from '@jujubecroft/decisions';

import type { ForwardedRequest } from '../forward/ForwardedRequest.js';
import type { GatewayContext } from '../GatewayContext.js';
import { nextTurn } from '../util/nextTurn.js';
import type { ReceivedRequest } from './ReceivedRequest.js';

/** Interval between checks for silent attempts. */
const CHECK_INTERVAL_MS = 50;
/**
 * Late checks in a row that may be skipped; bounded, since an overloaded
 * instance may always be late.
 */
const MAX_SKIPPED_CHECKS = 3;

/**
 * The unfinished requests of one instance, from the moment their heads were read.
 *
 * Attempts are checked only while there are requests: a timer without work
 * caused a third of the wake-ups of an idle instance.
 */
export class InFlightRequests {
  readonly #received = new Set<ReceivedRequest>();
  /** Those of them that were waited for until they could be sent. */
  readonly #requests = new Set<ForwardedRequest>();
  /** Complete responses of which a part is still in memory. */
  readonly #deliveries = new Set<ServerResponse>();
  #timer: NodeJS.Timeout | null = null;
  #isClosing = false;

  constructor(private readonly context: GatewayContext) {}

  /** Number of requests without a complete response, and of responses not delivered. */
  get count(): number {
    return this.#received.size + this.#deliveries.size;
  }

  /** Tracks a request until `leave` is called. */
  enter(request: ReceivedRequest): void {
    this.#received.add(request);
    this.#timer ??= this.#startChecks();
    if (this.#isClosing) {
      request.refuse('instanceLeaving');
    }
  }

  /**
   * Ends the tracking of a request; its response is tracked from then on until the
   * connection of its caller has taken all of it.
   */
  leave(request: ReceivedRequest, res: ServerResponse): void {
    if (res.writableEnded) {
      this.trackDelivery(res);
    }
    this.#received.delete(request);
    if (this.#received.size === 0) {
      this.stop();
    }
  }

  /** Refuses all requests that have not been placed, and those that are read from now on. */
  refuseUnplaced(): void {
    this.#isClosing = true;
    this.#received.forEach(request => {
      request.refuse('instanceLeaving');
    });
  }

  /** Tracks a complete response until the connection of its caller has taken all of it. */
  trackDelivery(res: ServerResponse): void {
    if (!res.writableFinished && !res.destroyed) {
      this.#deliveries.add(res);
      res.once('close', () => {
        this.#deliveries.delete(res);
      });
    }
  }

  /** Runs a request and checks its attempts until it ends. */
  async run(request: ForwardedRequest): Promise<void> {
    this.#requests.add(request);
    try {
      await request.run();
    } finally {
      this.#requests.delete(request);
    }
  }

  /** Aborts the responses to all callers. */
  cutResponses(): void {
    this.#requests.forEach(request => {
      request.cutResponse();
    });
    // A regular end would complete a body that only the connection delimits.
    this.#deliveries.forEach(({ socket }) => {
      socket?.resetAndDestroy();
    });
  }

  /** Stops the checks. */
  stop(): void {
    if (this.#timer) {
      clearInterval(this.#timer);
      this.#timer = null;
    }
  }

  /**
   * Checks the requests at a fixed interval.
   *
   * If the event loop is blocked, responses wait unread and the delay looks
   * like a silent replica, which would cause needless retries. Each check
   * therefore runs after pending reads, and checks that run late are skipped,
   * up to a few in a row.
   */
  #startChecks(): NodeJS.Timeout {
    let lastMs = this.context.clock();
    let skippedChecks = 0;
    return setInterval(() => {
      const nowMs = this.context.clock();
      const isLate = nowMs - lastMs > 2 * CHECK_INTERVAL_MS;
      lastMs = nowMs;
      if (isLate && skippedChecks < MAX_SKIPPED_CHECKS) {
        skippedChecks += 1;
        return;
      }
      skippedChecks = 0;
      void nextTurn().then(() => {
        this.#checkRequests();
      });
    }, CHECK_INTERVAL_MS);
  }

  /**
   * Ends waits whose time limit has passed, moves requests off silent replicas, and withdraws
   * attempts that must not continue.
   */
  #checkRequests(): void {
    const nowMs = this.context.clock();
    this.#received.forEach(request => {
      request.checkTime(nowMs);
    });
    const { router, replicaConnector } = this.context;
    router.findPathsToCheck().forEach(replica => {
      void replicaConnector.check(replica);
    });
    this.#forEachOf(router.findAttemptsToMove(), (request, attempt) => {
      request.move(attempt);
    });
    this.#forEachOf(router.takeOrphanedAttempts(), (request, attempt) => {
      request.leave(attempt);
    });
    this.#forEachOf(router.findBarredAttempts(), request => {
      request.withdraw('crashesBackends');
    });
  }

  /** Calls a function with each of the attempts that is running, and its request. */
  #forEachOf(
    attempts: readonly GatewayAttempt[],
    act: (request: ForwardedRequest, attempt: GatewayAttempt) => void,
  ): void {
    attempts.forEach(attempt => {
      this.#requests.forEach(request => {
        if (request.isRunning(attempt)) {
          act(request, attempt);
        }
      });
    });
  }
}
