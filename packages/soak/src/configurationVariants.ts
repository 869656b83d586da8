import type { SoakKind } from './evidence.js';

/** Ways in which the requests of a route are shared among the services. */
const SHARINGS = ['merged', 'moved', 'own', 'split'] as const;
const TIMEOUTS_MS: readonly number[] = [2500, 3500, 5000, 8000];
const IDLE_TIMEOUTS_MS: readonly number[] = [400, 2000, 15_000];
const DROPPED_KINDS: readonly (SoakKind | null)[] = [
  null,
  'resumable',
  'safe',
  'stream',
  'unsafe',
];

/** What differs between the configurations of a series. */
export interface ConfigurationVariant {
  /**
   * Services of the routes. `merged`: all routes lead to one service, and the other one is
   * not declared. `moved`: each route leads to the service that others usually lead to.
   * `own`: as usual. `split`: each route leads to both services.
   */
  readonly sharing: (typeof SHARINGS)[number];
  /** Weight of a route's usual service if its requests are split. */
  readonly ownWeight: number;
  /** Kind of requests without a route; null if all have one. */
  readonly droppedKind: SoakKind | null;
  readonly timeoutMs: number;
  readonly idleTimeoutMs: number;
  /** Whether each organisation has a second key, which callers use. */
  readonly hasSecondKeys: boolean;
}

/** The configuration outside of series. */
export const REGULAR_VARIANT: ConfigurationVariant = {
  sharing: 'own',
  ownWeight: 1,
  droppedKind: null,
  timeoutMs: 5000,
  idleTimeoutMs: 15_000,
  hasSecondKeys: false,
};

/**
 * Draws the next configuration of a series, which differs from the previous one in one
 * respect.
 *
 * @param previous - the previous variant
 * @param random - returns a number from 0 to 1
 */
export function nextVariant(
  previous: ConfigurationVariant,
  random: () => number,
): ConfigurationVariant {
  const pick = <T>(items: readonly T[]): T =>
    items[Math.floor(random() * items.length)] as T;
  const change = pick<() => Partial<ConfigurationVariant>>([
    () => ({ sharing: pick(SHARINGS) }),
    () => ({ sharing: 'split', ownWeight: random() }),
    () => ({ droppedKind: pick(DROPPED_KINDS) }),
    () => ({ timeoutMs: pick(TIMEOUTS_MS) }),
    () => ({ idleTimeoutMs: pick(IDLE_TIMEOUTS_MS) }),
    () => ({ hasSecondKeys: !previous.hasSecondKeys }),
  ]);
  return { ...previous, ...change() };
}
