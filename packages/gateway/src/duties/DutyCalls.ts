import type { GatewayContext } from '../GatewayContext.js';
import type { DutyCallResult, DutyCaller } from '../ports/DutyPorts.js';
import type { DutyLeaseKeeper } from './DutyLeaseKeeper.js';

/** Delay after a call that failed or was answered with `busy`, in milliseconds. */
const RETRY_DELAY_MS = 500;
/**
 * Time without any answer after which this instance releases the duties, so that
 * another one can try, in milliseconds.
 */
const RELEASE_AFTER_FAILING_MS = 2500;
/** Time for which it then leaves the duties to other instances, in milliseconds. */
const RELEASE_DURATION_MS = 10_000;

/**
 * Duties that need calls to the platform; the names are label values in the metrics.
 */
export type DutyKind = 'orders' | 'usage';

/**
 * Makes the holder's calls to the platform, and detects that the platform is
 * unreachable.
 */
export class DutyCalls {
  readonly #pausedUntilMs = new Map<DutyKind, number>();
  #failingSinceMs: number | null = null;
  #releasedUntilMs = -Infinity;

  constructor(
    private readonly context: GatewayContext,
    private readonly keeper: DutyLeaseKeeper,
  ) {}

  /**
   * Whether this instance can't reach the platform, and should leave the duties to
   * others.
   */
  get shouldReleaseDuties(): boolean {
    return this.context.clock() < this.#releasedUntilMs;
  }

  /**
   * Makes a call if this instance holds the duties and isn't waiting after a failure.
   *
   * @param kind - duty that the call is for
   * @param call - makes the call with the current token
   * @returns the answer; null if the call wasn't made or got no answer
   */
  async run(
    kind: DutyKind,
    call: (caller: DutyCaller) => Promise<DutyCallResult>,
  ): Promise<DutyCallResult | null> {
    const { clock, settings, metrics } = this.context;
    const { token } = this.keeper;
    if (token === null || clock() < (this.#pausedUntilMs.get(kind) ?? 0)) {
      return null;
    }
    try {
      const answer = await call({ instance: settings.instance, token });
      metrics.dutyCalls.inc({ duty: kind, result: answer });
      this.#failingSinceMs = null;
      if (answer === 'busy') {
        this.#pausedUntilMs.set(kind, clock() + RETRY_DELAY_MS);
      }
      return answer;
    } catch (err) {
      metrics.dutyCalls.inc({ duty: kind, result: 'unanswered' });
      this.#onFailed(kind, token, err);
      return null;
    }
  }

  #onFailed(duty: DutyKind, token: number, err: unknown): void {
    const { clock, log } = this.context;
    const nowMs = clock();
    this.#pausedUntilMs.set(duty, nowMs + RETRY_DELAY_MS);
    this.#failingSinceMs ??= nowMs;
    if (nowMs - this.#failingSinceMs > RELEASE_AFTER_FAILING_MS) {
      this.#failingSinceMs = null;
      this.#releasedUntilMs = nowMs + RELEASE_DURATION_MS;
    }
    const error = err instanceof Error ? err.message : String(err);
    log.write('dutyCallFailed', {
      duty,
      token,
      error,
      rests: this.shouldReleaseDuties,
    });
  }
}
