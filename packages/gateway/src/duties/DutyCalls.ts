import type { GatewayContext } from '../GatewayContext.js';
import type { DutyAnswer, DutyCaller } from '../ports/DutyPorts.js';
import type { HoldingKeeper } from './HoldingKeeper.js';

/** Pause after a call without an answer, in milliseconds. */
const FAILED_PAUSE_MS = 500;
/** Time without any answer after which another instance should try. */
const GIVE_UP_MS = 2500;
/** Time for which an instance that gave up leaves the duties to others. */
const REST_MS = 10_000;

/** Duties that the platform is called for. */
export type DutyKind = 'orders' | 'usage';

/** Makes calls of the platform in the name of the holder, and watches how they go. */
export class DutyCalls {
  readonly #pausedUntilMs = new Map<DutyKind, number>();
  #failingSinceMs: number | null = null;
  #restsUntilMs = -Infinity;

  constructor(
    private readonly context: GatewayContext,
    private readonly keeper: HoldingKeeper,
  ) {}

  /** Whether this instance doesn't reach the platform, and others may. */
  get isCutOff(): boolean {
    return this.context.clock() < this.#restsUntilMs;
  }

  /**
   * Makes a call, if this instance is the holder.
   *
   * @param kind - what it is for
   * @param call - made with the token of this moment
   * @returns null where it wasn't made or got no answer
   */
  async run(
    kind: DutyKind,
    call: (caller: DutyCaller) => Promise<DutyAnswer>,
  ): Promise<DutyAnswer | null> {
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
        this.#pausedUntilMs.set(kind, clock() + FAILED_PAUSE_MS);
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
    this.#pausedUntilMs.set(duty, nowMs + FAILED_PAUSE_MS);
    this.#failingSinceMs ??= nowMs;
    if (nowMs - this.#failingSinceMs > GIVE_UP_MS) {
      this.#failingSinceMs = null;
      this.#restsUntilMs = nowMs + REST_MS;
    }
    const error = err instanceof Error ? err.message : String(err);
    log.write('dutyCallFailed', { duty, token, error, rests: this.isCutOff });
  }
}
