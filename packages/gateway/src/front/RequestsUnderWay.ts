import type { GatewayAttempt, WithdrawReason } from '@jujubecroft/decisions';

import type { ForwardedRequest } from '../forward/ForwardedRequest.js';
import type { GatewayContext } from '../GatewayContext.js';
import { nextTurn } from '../util/nextTurn.js';

/** Time between looks for attempts that fell silent, in milliseconds. */
const CHECK_EVERY_MS = 50;
/** Late looks in a row that are left out; an instance may be late all the time. */
const MAX_LEFT_OUT = 3;

/**
 * The requests of one instance that have not ended.
 *
 * Only while there are any are they looked after: a timer that finds nothing to do
 * was a third of the wake-ups of an idle instance.
 */
export class RequestsUnderWay {
  readonly #requests = new Set<ForwardedRequest>();
  #timer: NodeJS.Timeout | null = null;

  constructor(private readonly context: GatewayContext) {}

  get count(): number {
    return this.#requests.size;
  }

  /** Runs a request and keeps it until it ends. */
  async track(request: ForwardedRequest): Promise<void> {
    this.#requests.add(request);
    this.#timer ??= this.#startToLook();
    try {
      await request.run();
    } finally {
      this.#requests.delete(request);
      if (this.#requests.size === 0) {
        this.stop();
      }
    }
  }

  stop(): void {
    if (this.#timer) {
      clearInterval(this.#timer);
      this.#timer = null;
    }
  }

  /**
   * Looks for silent attempts again and again, each time once all is read.
   *
   * Guards against an instance that is held up and takes the time for a replica's
   * silence: it shows as repeats of requests whose answers wait to be read. Looks
   * that come late are left out, a few in a row at most, since the replica's answer
   * may still be on its way to be read.
   */
  #startToLook(): NodeJS.Timeout {
    let lastMs = this.context.clock();
    let leftOut = 0;
    return setInterval(() => {
      const nowMs = this.context.clock();
      const isLate = nowMs - lastMs > 2 * CHECK_EVERY_MS;
      lastMs = nowMs;
      if (isLate && leftOut < MAX_LEFT_OUT) {
        leftOut += 1;
        return;
      }
      leftOut = 0;
      void nextTurn().then(() => {
        this.#look();
      });
    }, CHECK_EVERY_MS);
  }

  /** Looks for attempts that should go on elsewhere, or not at all. */
  #look(): void {
    const { router } = this.context;
    this.#withdraw(router.findSilent(), 'silent');
    this.#withdraw(router.takeOrphans(), 'replicaRestarted');
    this.#withdraw(router.findBarred(), 'crashesBackends');
  }

  #withdraw(attempts: readonly GatewayAttempt[], reason: WithdrawReason): void {
    attempts.forEach(attempt => {
      [...this.#requests]
        .filter(request => request.runs(attempt))
        .forEach(request => {
          request.withdraw(reason);
        });
    });
  }
}
