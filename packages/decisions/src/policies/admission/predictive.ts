import * as z from 'zod';

import type { BackendView } from '../../blackboard/BackendView.js';
import type { Blackboard } from '../../blackboard/Blackboard.js';
import { loadOf, queueOf } from '../../blackboard/Blackboard.js';
import type { RequestQueue } from '../../blackboard/RequestQueue.js';
import type { RequestRecord } from '../../blackboard/RoutedRequest.js';
import { poolKey } from '../../util/poolKey.js';
import { HIGHEST_TIER } from '../../util/highestTier.js';
import { createPolicyUnit } from '../createPolicyUnit.js';
import type { AdmissionPolicy } from './AdmissionPolicy.js';

interface PredictiveOptions {
  /** Share of the first-token target that prediction may use up. */
  readonly margin: number;
  /** Time between tokens assumed before anything was observed, in milliseconds. */
  readonly priorBetweenTokensMs: number;
  /** Shortest retry-after that is told to a caller, in milliseconds. */
  readonly minRetryAfterMs: number;
  readonly maxRetryAfterMs: number;
}

/** Tokens per millisecond that this instance may draw from the pool. */
function tokenRate(
  views: readonly BackendView[],
  nowMs: number,
  priorMs: number,
): number {
  return views
    .filter(view => !view.straggler && view.avoidUntilMs <= nowMs)
    .reduce(
      (sum, view) => sum + view.limit / (view.betweenTokensMs || priorMs),
      0,
    );
}

/** Work of the same tier that is served before a new request. */
function tokensAhead(queue: RequestQueue, record: RequestRecord): number {
  const { rules, request, weight, expectedTokens } = record;
  return queue.classes
    .filter(other => other.rules.tier === rules.tier)
    .reduce(
      (sum, other) =>
        sum +
        (other.rules.id === rules.id
          ? other.tokensAhead(request.organisation, weight, expectedTokens)
          : other.queuedTokens),
      0,
    );
}

/** What higher tiers leave of the rate, but never less than the guaranteed share. */
function rateLeft(total: number, above: number, record: RequestRecord): number {
  const guaranteed = total * record.rules.guaranteedShare;
  return Math.max(guaranteed, total - above);
}

function expectedFirstTokenMs(views: readonly BackendView[]): number {
  const known = views.filter(view => view.firstTokenMs > 0 && !view.straggler);
  const sum = known.reduce((total, view) => total + view.firstTokenMs, 0);
  return known.length === 0 ? 0 : sum / known.length;
}

function budgetMs(
  record: RequestRecord,
  firstTokenMs: number,
  margin: number,
): number {
  const { rules } = record;
  // A request of the highest tier waits for its whole bound: late is better
  // than shed. Lower tiers are told at once when the target is out of reach.
  if (rules.tier === HIGHEST_TIER) {
    return rules.maxQueueMs;
  }
  return Math.min(
    rules.maxQueueMs,
    Math.max(0, rules.firstTokenTargetMs * margin - firstTokenMs),
  );
}

function createPredictive(
  board: Blackboard,
  options: PredictiveOptions,
): AdmissionPolicy {
  return record => {
    const pool = poolKey(record.request.target);
    const views = board.pools.get(pool) ?? [];
    const rate = tokenRate(views, board.clock(), options.priorBetweenTokensMs);
    const above = loadOf(board, pool).offeredAbove(record.rules.tier);
    const left = rateLeft(rate, above, record);
    const ahead = tokensAhead(queueOf(board, pool), record);
    const predictedWaitMs = left === 0 ? Infinity : ahead / left;
    const budget = budgetMs(
      record,
      expectedFirstTokenMs(views),
      options.margin,
    );
    const overMs = predictedWaitMs - budget;
    return {
      admit: overMs <= 0,
      predictedWaitMs,
      budgetMs: budget,
      retryAfterMs: Math.min(
        options.maxRetryAfterMs,
        Math.max(options.minRetryAfterMs, overMs),
      ),
    };
  };
}

/** Sheds at arrival what cannot meet its target any more. */
export const predictive = createPolicyUnit<PredictiveOptions, AdmissionPolicy>({
  name: 'predictive',
  description:
    'Predicts the queue wait from learnt answer lengths and observed token rate, and sheds at arrival what would miss its target.',
  schema: z.object({
    margin: z.number().positive().default(0.9),
    priorBetweenTokensMs: z.number().positive().default(30),
    minRetryAfterMs: z.number().positive().default(1000),
    maxRetryAfterMs: z.number().positive().default(60_000),
  }),
  create: createPredictive,
});
