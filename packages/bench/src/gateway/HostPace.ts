/** Hosts whose speed differs and changes. */
export interface UnevenHosts {
  /** Whether replicas state how long work takes at the moment. */
  readonly isReported: boolean;
  /** Whether hosts are slower for a part of the time, in addition. */
  readonly hasMoments: boolean;
}

/** Share of the hosts that are slow, as one in this number. */
const SLOW_EVERY = 3;
const SLOW_FACTOR = 1.7;
const FAST_FACTOR = 0.7;
const MOMENT_FACTOR = 2.5;
const MOMENT_SHARE = 0.15;
const MOMENT_MS = 600;

/**
 * Whether a host is lastingly slow. Slow hosts are spread evenly over the failure
 * domains, to which replicas belong in turn.
 */
export function isSlowHost(index: number): boolean {
  return (index + Math.floor(index / SLOW_EVERY)) % SLOW_EVERY === 0;
}

/** Time that work takes on one host, as a factor of the usual time. */
export class HostPace {
  readonly #lasting: number;
  #moment = 1;
  #untilMs: number;

  /**
   * @param index - number of the host, from 0
   * @param hosts - how hosts differ; null if all are as usual
   * @param clock - virtual time in milliseconds
   * @param random - random source of this host alone
   */
  constructor(
    index: number,
    private readonly hosts: UnevenHosts | null,
    private readonly clock: () => number,
    private readonly random: () => number,
  ) {
    const uneven = isSlowHost(index) ? SLOW_FACTOR : FAST_FACTOR;
    this.#lasting = hosts ? uneven : 1;
    this.#untilMs = MOMENT_MS * random();
  }

  /** Factor of the usual time at this moment. */
  get factor(): number {
    return this.#lasting * this.moment;
  }

  /** The part of the factor that changes from moment to moment. */
  get moment(): number {
    if (this.hosts?.hasMoments !== true) {
      return 1;
    }
    while (this.clock() >= this.#untilMs) {
      this.#untilMs += MOMENT_MS;
      this.#moment = this.random() < MOMENT_SHARE ? MOMENT_FACTOR : 1;
    }
    return this.#moment;
  }
}
