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
  /** Load that a warm prefix is worth, as a share of capacity, per 1,000 prompt tokens. */
  readonly prefixWorth: number;
  /** Upper bound of `prefixWorth` for long prompts. */
  readonly maxPrefixWorth: number;
  /** Load that another failure domain costs, as a share of capacity. */
  readonly domainCost: number;
  /** Older reports are not used. */
  readonly maxReportAgeMs: number;
  /** Time between probes of a straggler, in milliseconds. */
  readonly probeEveryMs: number;
  /** Weight of the load report against own requests scaled to the fleet. */
  readonly reportWeight: number;
  readonly avoidStragglers: boolean;
}

/** A server with its fitness; the score counts only where it is fit. */
interface Judgement {
  readonly view: BackendView;
  readonly verdict: CandidateView['verdict'];
  readonly score: number;
}

const TIE_BREAK = 0.001;
const TOKENS_PER_UNIT = 1000;

/**
 * Requests on the server as of now, from two views that each miss something.
 *
 * The report counts everybody's requests but lags, so own requests are taken
 * out as of then and put back as of now. Followed alone it sends all instances
 * to the same server at once; own requests scaled to the fleet do not.
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
  const corrected = Math.max(0, reported - view.ownAtReport) + view.inFlight;
  return scaled + reportWeight * (corrected - scaled);
}

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
    const worth = Math.min(
      options.maxPrefixWorth,
      (options.prefixWorth * record.request.promptTokens) / TOKENS_PER_UNIT,
    );
    const warm = view.prefixes.has(record.request.prefixHash) ? worth : 0;
    const remote =
      view.server.failureDomain === board.placement.failureDomain
        ? 0
        : options.domainCost;
    return (
      load / view.server.capacity - warm + remote + board.random() * TIE_BREAK
    );
  };

  const judge = (
    view: BackendView,
    record: RequestRecord,
    slots: SlotLimit,
    nowMs: number,
  ): Judgement => {
    const verdict = verdictOf(view, record, slots, nowMs);
    const score = verdict === 'worse' ? scoreOf(view, record) : Infinity;
    return { view, verdict, score };
  };

  return (record, views, slots) => {
    const nowMs = board.clock();
    const judged = views.map(view => judge(view, record, slots, nowMs));
    const best = judged.reduce<Judgement | undefined>(
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
        judged.map(({ view, score, verdict }) => ({
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
