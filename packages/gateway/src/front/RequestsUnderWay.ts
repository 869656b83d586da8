import type { GatewayAttempt, WithdrawReason } from '@jujubecroft/decisions';

import type { ForwardedRequest } from '../forward/ForwardedRequest.js';
import type { GatewayContext } from '../GatewayContext.js';

/** Time between looks for attempts that fell silent, in milliseconds. */
const CHECK_EVERY_MS = 50;

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
    this.#timer ??= setInterval(() => {
      this.#look();
    }, CHECK_EVERY_MS);
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

  /** Looks for attempts that should go on elsewhere. */
  #look(): void {
    const { router } = this.context;
    this.#withdraw(router.findSilent(), 'silent');
    this.#withdraw(router.takeOrphans(), 'replicaRestarted');
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
