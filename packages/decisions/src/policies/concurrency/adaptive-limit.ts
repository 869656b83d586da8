import * as z from 'zod';

import type { BackendView } from '../../blackboard/BackendView.js';
import type { Blackboard } from '../../blackboard/Blackboard.js';
import { loadOf } from '../../blackboard/Blackboard.js';
import { poolKey } from '../../util/poolKey.js';
import { HIGHEST_TIER } from '../../util/highestTier.js';
import { createPolicyUnit } from '../createPolicyUnit.js';
import type { ConcurrencyPolicy } from './ConcurrencyPolicy.js';

interface AdaptiveLimitOptions {
  /** Shortest time between two changes of a limit, in milliseconds. */
  readonly adaptEveryMs: number;
  /** Latency samples that a change of a limit needs. */
  readonly minSamples: number;
  /** Ratio of observed latency to target above which the limit is lowered. */
  readonly highPressure: number;
  /** Ratio of observed latency to target below which the limit may grow. */
  readonly lowPressure: number;
  /** Factor by which a limit is lowered. */
  readonly decrease: number;
  /** Amount by which a limit grows. */
  readonly increase: number;
  readonly minLimit: number;
  /** Factor by which the highest tier may exceed a limit. */
  readonly highestTierShare: number;
  /** Standard deviations of the higher tiers' demand that are kept free. */
  readonly reserveDeviations: number;
}

/** Share of the first-token target that the backend server itself may use. */
const FIRST_TOKEN_SHARE = 0.6;

/** Utilisation of the limit above which the limit counts as binding. */
const BINDING_SHARE = 0.85;
/** Requests that each tier may always have in flight in a pool. */
const MIN_TIER_SLOTS = 1;

/**
 * Slots that a given token rate keeps busy, by Little's law, plus a margin for
 * fluctuation.
 */
function slotsNeeded(
  tokensPerMs: number,
  views: readonly BackendView[],
  deviations: number,
): number {
  const paces = views
    .filter(view => view.betweenTokensMs > 0 && !view.straggler)
    .map(view => view.betweenTokensMs);
  const paceMs =
    paces.reduce((sum, pace) => sum + pace, 0) / Math.max(1, paces.length);
  const busy = tokensPerMs * paceMs;
  return busy + deviations * Math.sqrt(busy);
}

/**
 * The higher of the two ratios of latency to target: between tokens, and to the
 * first token.
 */
function pressureOf(view: BackendView): number {
  const between = view.betweenTokensMs / view.tightestBetweenTokensMs;
  const first =
    view.firstTokenMs / (view.tightestFirstTokenMs * FIRST_TOKEN_SHARE);
  return Math.max(between, first);
}

function createAdaptiveLimit(
  board: Blackboard,
  options: AdaptiveLimitOptions,
): ConcurrencyPolicy {
  const isDue = (view: BackendView): boolean =>
    board.clock() - view.lastAdaptedAtMs >= options.adaptEveryMs &&
    view.samples >= options.minSamples;

  return {
    slots: (view, record) => {
      if (view.straggler) {
        return 1;
      }
      const share =
        record.rules.tier === HIGHEST_TIER ? options.highestTierShare : 1;
      return Math.max(1, view.limit * share);
    },
    mayStart: (record, views) => {
      const { tier } = record.rules;
      const load = loadOf(board, poolKey(record.request.target));
      const offered = load.offeredAbove(tier);
      if (offered === 0) {
        return true;
      }
      const reserved = slotsNeeded(offered, views, options.reserveDeviations);
      const total = views.reduce((sum, view) => sum + view.limit, 0);
      const available = Math.max(MIN_TIER_SLOTS, total - reserved);
      return load.inFlightFrom(tier) < available;
    },
    adapt: view => {
      if (!isDue(view)) {
        return;
      }
      view.lastAdaptedAtMs = board.clock();
      view.samples = 0;
      const pressure = pressureOf(view);
      if (pressure > options.highPressure) {
        view.limit = Math.max(options.minLimit, view.limit * options.decrease);
        return;
      }
      // Latency is also low when there is little demand, so a limit grows only if
      // it was binding.
      const binding = view.inFlight >= view.limit * BINDING_SHARE - 1;
      if (pressure < options.lowPressure && binding) {
        view.limit += options.increase;
      }
    },
  };
}

/**
 * Adapts limits by additive increase and multiplicative decrease against the
 * latency targets.
 */
export const adaptiveLimit = createPolicyUnit<
  AdaptiveLimitOptions,
  ConcurrencyPolicy
>({
  name: 'adaptive-limit',
  description:
    'Raises the concurrency per server by steps while latency leaves room and cuts it by a factor when latency nears the tightest target.',
  schema: z.object({
    adaptEveryMs: z.number().positive().default(400),
    minSamples: z.number().positive().default(10),
    highPressure: z.number().positive().default(0.92),
    lowPressure: z.number().positive().default(0.84),
    decrease: z.number().positive().default(0.93),
    increase: z.number().positive().default(0.5),
    minLimit: z.number().positive().default(1),
    highestTierShare: z.number().positive().default(1.3),
    reserveDeviations: z.number().nonnegative().default(2),
  }),
  create: createAdaptiveLimit,
});
