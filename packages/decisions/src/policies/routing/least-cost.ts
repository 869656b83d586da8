import * as z from 'zod';
import type { CandidateView } from '@jujubecroft/types';

import type { BackendView } from '../../blackboard/BackendView.js';
import type { Blackboard } from '../../blackboard/Blackboard.js';
import type { RequestRecord } from '../../blackboard/RoutedRequest.js';
import { HIGHEST_TIER } from '../../util/highestTier.js';
import { createPolicyUnit } from '../createPolicyUnit.js';
import { isFit } from './isFit.js';
import type { RoutingPolicy, SlotLimit } from './RoutingPolicy.js';

interface LeastCostOptions {
  /**
   * Load that a cached prefix offsets, as a share of capacity per 1,000 prompt
   * tokens.
   */
  readonly prefixWorth: number;
  /** Upper bound of the offset for long prompts. */
  readonly maxPrefixWorth: number;
  /**
   * Load to which another failure domain is equivalent, as a share of capacity.
   */
  readonly domainCost: number;
  /** Age from which load reports are ignored, in milliseconds. */
  readonly maxReportAgeMs: number;
  /** Time between probes of a straggler, in milliseconds. */
  readonly probeEveryMs: number;
  /**
   * Weight of the load report, relative to own requests scaled to the fleet.
   */
  readonly reportWeight: number;
  readonly avoidStragglers: boolean;
}

/**
 * A server with its verdict. Eligible servers have the verdict `worse`, which
 * becomes `chosen` for the best of them; only they have a finite score.
 */
interface Evaluation {
  readonly view: BackendView;
  readonly verdict: CandidateView['verdict'];
  readonly score: number;
}

/** Maximum random part of a score; it chooses between servers of equal cost. */
const TIE_BREAK = 0.001;
/** Number of prompt tokens that `prefixWorth` refers to. */
const PREFIX_WORTH_TOKENS = 1000;

/**
 * Estimates the current number of requests on a server from two sources, each
 * of which is incomplete.
 *
 * The report counts the requests of all instances but lags, so own requests are
 * corrected to their present number. Used alone, it sends all instances to the
 * same server at once; own requests scaled to the fleet do not.
 */
function estimatedLoad(
  view: BackendView,
  instances: number,
  reportWeight: number,
  oldestMs: number,
): number {
  const scaled = view.inFlight * instances;
  if (!view.report || view.report.takenAtMs < oldestMs) {
    return scaled;
  }
  const reported = view.report.running + view.report.waiting;
  const corrected =
    Math.max(0, reported - view.ownInFlightAtReport) + view.inFlight;
  return scaled + reportWeight * (corrected - scaled);
}

/**
 * Whether a request may probe a straggler: not one of the highest tier, and
 * only if running it twice does no harm.
 */
function mayProbe(
  view: BackendView,
  record: RequestRecord,
  nowMs: number,
  everyMs: number,
): boolean {
  return (
    record.rules.tier !== HIGHEST_TIER &&
    record.request.idempotent &&
    nowMs - view.lastProbeAtMs >= everyMs
  );
}

function createLeastCost(
  board: Blackboard,
  options: LeastCostOptions,
): RoutingPolicy {
  const verdictOf = (
    view: BackendView,
    record: RequestRecord,
    slots: SlotLimit,
    nowMs: number,
  ): CandidateView['verdict'] => {
    if (!isFit(view, record, nowMs)) {
      return 'unfit';
    }
    if (
      options.avoidStragglers &&
      view.straggler &&
      !mayProbe(view, record, nowMs, options.probeEveryMs)
    ) {
      return 'straggler';
    }
    return view.inFlight < slots(view, record) ? 'worse' : 'full';
  };

  const scoreOf = (view: BackendView, record: RequestRecord): number => {
    const instances = board.placement.instances.length;
    const load = estimatedLoad(
      view,
      instances,
      options.reportWeight,
      board.clock() - options.maxReportAgeMs,
    );
    const prefixValue = Math.min(
      options.maxPrefixWorth,
      (options.prefixWorth * record.request.promptTokens) / PREFIX_WORTH_TOKENS,
    );
    const affinityBonus = view.prefixes.has(record.request.prefixHash)
      ? prefixValue
      : 0;
    const remoteCost =
      view.server.failureDomain === board.placement.failureDomain
        ? 0
        : options.domainCost;
    return (
      load / view.server.capacity -
      affinityBonus +
      remoteCost +
      board.random() * TIE_BREAK
    );
  };

  const evaluate = (
    view: BackendView,
    record: RequestRecord,
    slots: SlotLimit,
    nowMs: number,
  ): Evaluation => {
    const verdict = verdictOf(view, record, slots, nowMs);
    const score = verdict === 'worse' ? scoreOf(view, record) : Infinity;
    return { view, verdict, score };
  };

  return (record, views, slots) => {
    const nowMs = board.clock();
    const evaluations = views.map(view => evaluate(view, record, slots, nowMs));
    const best = evaluations.reduce<Evaluation | undefined>(
      (winner, next) =>
        next.verdict === 'worse' && next.score < (winner?.score ?? Infinity)
          ? next
          : winner,
      undefined,
    );
    if (best?.view.straggler) {
      best.view.lastProbeAtMs = nowMs;
    }
    return {
      view: best?.view,
      candidates: () =>
        evaluations.map(({ view, score, verdict }) => ({
          backendServer: view.server.id,
          score,
          inFlight: view.inFlight,
          limit: view.limit,
          verdict: view === best?.view ? 'chosen' : verdict,
        })),
    };
  };
}

/** Routes by corrected load, prefix affinity and failure domain. */
export const leastCost = createPolicyUnit<LeastCostOptions, RoutingPolicy>({
  name: 'least-cost',
  description:
    'Weighs the lagging load report corrected by own requests, a warm prefix and the failure domain; stragglers get only probes.',
  schema: z.object({
    prefixWorth: z.number().nonnegative().default(0.1),
    maxPrefixWorth: z.number().nonnegative().default(0.3),
    domainCost: z.number().nonnegative().default(0.02),
    maxReportAgeMs: z.number().positive().default(5000),
    probeEveryMs: z.number().positive().default(3000),
    reportWeight: z.number().min(0).max(1).default(0.25),
    avoidStragglers: z.boolean().default(true),
  }),
  create: createLeastCost,
});
