import { z } from 'zod';
import type { Tier } from '@jujubecroft/types';

import type { BackendView } from '../../blackboard/BackendView.js';
import type { Blackboard } from '../../blackboard/Blackboard.js';
import { createPolicyUnit } from '../createPolicyUnit.js';
import type { ConcurrencyPolicy } from './ConcurrencyPolicy.js';

interface AdaptiveLimitOptions {
  readonly adaptEveryMs: number;
  readonly minSamples: number;
  /** Observed latency over target above which the limit is lowered. */
  readonly highPressure: number;
  /** Observed latency over target below which the limit may grow. */
  readonly lowPressure: number;
  readonly decrease: number;
  readonly increase: number;
  readonly minLimit: number;
}

/** Share of the limit that each tier may fill, so that higher tiers find room. */
const TIER_SHARE: Readonly<Record<Tier, number>> = {
  1: 1.2,
  2: 1,
  3: 0.95,
  4: 0.9,
};

/** Share of the first-token target that the backend server itself may use. */
const FIRST_TOKEN_SHARE = 0.6;

/** The worse of both latencies over their targets. */
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
      return Math.max(1, view.limit * TIER_SHARE[record.rules.tier]);
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
      // Growth needs evidence that the limit, not the demand, was binding.
      const binding = view.inFlight >= view.limit * TIER_SHARE[4] - 1;
      if (pressure < options.lowPressure && binding) {
        view.limit += options.increase;
      }
    },
  };
}

/** Additive increase and multiplicative decrease against the latency targets. */
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
  }),
  create: createAdaptiveLimit,
});
