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
  /**
   * Share of the first-token target that the predicted wait and first token may
   * use up.
   */
  readonly margin: number;
  /**
   * Time between tokens that is assumed before any was observed, in
   * milliseconds.
   */
  readonly priorBetweenTokensMs: number;
  /** Shortest retry-after that a caller is given, in milliseconds. */
  readonly minRetryAfterMs: number;
  /** Longest retry-after that a caller is given, in milliseconds. */
  readonly maxRetryAfterMs: number;
}

/** Tokens per millisecond that this instance may use of the pool. */
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

/** Queued tokens of the same tier that are served before a new request. */
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

/** Token rate that higher tiers leave, but at least the guaranteed share. */
function rateLeft(
  total: number,
  higherTiersRate: number,
  record: RequestRecord,
): number {
  const guaranteed = total * record.rules.guaranteedShare;
  return Math.max(guaranteed, total - higherTiersRate);
}

/**
 * Mean time to the first token at servers that are not stragglers; 0 if
 * unknown.
 */
function expectedFirstTokenMs(views: readonly BackendView[]): number {
  const known = views.filter(view => view.firstTokenMs > 0 && !view.straggler);
  const sum = known.reduce((total, view) => total + view.firstTokenMs, 0);
  return known.length === 0 ? 0 : sum / known.length;
}

/** Longest predicted wait at which a request is admitted, in milliseconds. */
function budgetMs(
  record: RequestRecord,
  firstTokenMs: number,
  margin: number,
): number {
  const { rules } = record;
  // A request of the highest tier may wait for its maximum queue time, because
  // a late response is better than none. Requests of lower tiers are shed at
  // once if they cannot meet their target.
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
    const higherTiersRate = loadOf(board, pool).offeredAbove(record.rules.tier);
    const left = rateLeft(rate, higherTiersRate, record);
    const queuedAhead = tokensAhead(queueOf(board, pool), record);
    const predictedWaitMs = left === 0 ? Infinity : queuedAhead / left;
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

/** Sheds requests on arrival if they cannot meet their target. */
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
