import * as z from 'zod';
import type { PromptPart } from '@jujubecroft/types';

import { createPolicyUnit } from '../../policies/createPolicyUnit.js';
import { byHashed } from '../../util/byHash.js';
import type { BackendLoad, GatewayRequest } from '../BackendLoad.js';
import type { GatewayBoard } from '../GatewayBoard.js';
import { learningOf } from '../GatewayBoard.js';
import { firstEventMs } from '../firstEventMs.js';
import { pathsOf } from '../PromptMemory.js';
import { requestRank } from '../requestRank.js';
import type { Holder } from './cacheFetch.js';
import { bestHolders, chooseFetch, homeOf } from './cacheFetch.js';
import type { SegmentOptions } from './groupSegments.js';
import { createGroupSegments } from './groupSegments.js';
import type { PlacedCandidate, PlacementPolicy } from './PlacementPolicy.js';

interface ToleranceSplitOptions extends SegmentOptions {
  /** What a replica of a more tolerant group costs, in milliseconds. */
  readonly mixingMs: number;
  /**
   * What a replica with all slots taken costs, in milliseconds. The cost grows
   * with the square of the share taken, since steps slow down and waiting starts.
   */
  readonly crowdMs: number;
  /** Weight of the time from first event to last against that to the first. */
  readonly streamWeight: number;
  /** What another failure domain costs, in milliseconds; about a round trip. */
  readonly domainMs: number;
  /** Weight of tokens that would be read again, against the time to read them. */
  readonly rereadWeight: number;
  /** Weight of the time to copy them from another replica instead. */
  readonly fetchWeight: number;
  /** Chance that shared parts are kept where the hash puts them, though not by us. */
  readonly homeChance: number;
}

/** Parts that other requests can share; the last of all is the request's own. */
function sharedParts({ prompt }: GatewayRequest): readonly PromptPart[] {
  return prompt?.parts.slice(0, -1) ?? [];
}

function tokensOf(parts: readonly PromptPart[]): number {
  return parts.reduce((sum, { tokens }) => sum + tokens, 0);
}

/** What is the same for all replicas that a request may go to. */
interface Prepared {
  readonly promptTokens: number;
  readonly sharedTokens: number;
  /** Pieces that the answer should have. */
  readonly pieces: number;
  readonly home: BackendLoad | undefined;
  /** Replicas that probably keep most of the shared parts, best first. */
  readonly holders: readonly Holder[];
  /** Prompt tokens that each replica keeps, as far as this instance knows. */
  readonly cached: ReadonlyMap<BackendLoad, number>;
  /** At which the request would be served. */
  readonly rank: number;
  readonly isDeferred: boolean;
}

function createToleranceSplit(
  board: GatewayBoard,
  options: ToleranceSplitOptions,
): PlacementPolicy {
  const segmentsFor = createGroupSegments(board, options);

  const prepare = (
    request: GatewayRequest,
    loads: readonly BackendLoad[],
    all: readonly BackendLoad[],
    isDeferred: boolean,
  ): Prepared => {
    const { prompt, route, service } = request;
    const parts = prompt?.parts ?? [];
    const shared = sharedParts(request);
    const last = shared.at(-1);
    const home = last && homeOf(last, loads);
    const paths = pathsOf(parts);
    const sharedTokens = tokensOf(shared);
    const cached = new Map(
      all.map(load => [load, load.memory.cachedTokens(parts, paths)]),
    );
    const holders = [...cached].map(([load, known]) => {
      const hoped = load === home ? options.homeChance * sharedTokens : 0;
      const kept = Math.min(known, sharedTokens);
      return { load, tokens: Math.max(hoped, kept), isKnown: kept >= hoped };
    });
    const urgency = isDeferred ? 'deferred' : 'new';
    return {
      promptTokens: prompt?.promptTokens ?? 0,
      sharedTokens,
      pieces: board.lengths.expect(route.id, prompt, service),
      home,
      holders: bestHolders(holders),
      cached,
      rank: requestRank(board, request, urgency),
      isDeferred,
    };
  };

  const judge = (
    request: GatewayRequest,
    load: BackendLoad,
    prepared: Prepared,
  ): PlacedCandidate => {
    const { promptTokens, sharedTokens, pieces, isDeferred } = prepared;
    const { engine } = learningOf(board, request.service.id);
    const isHome = load === prepared.home;
    const cached = prepared.cached.get(load) ?? 0;
    const hoped = isHome
      ? Math.max(cached, options.homeChance * sharedTokens)
      : cached;
    const fetch = chooseFetch({
      holders: prepared.holders,
      target: load,
      ownTokens: hoped,
      tokensPerMs: engine.tokensPerMs,
      spec: request.service.engine,
    });
    const fetched = fetch?.tokens ?? 0;
    const copyMs = fetch?.tookMs ?? 0;
    const unreadTokens = Math.max(0, promptTokens - hoped - fetched);
    const tokensBefore = load.unreadAhead(prepared.rank);
    const tokensAhead = tokensBefore + unreadTokens;
    const { priority } = request;
    const eventMs = (tokens: number): number =>
      firstEventMs(engine, load, { priority, isDeferred, tokens });
    const predictedMs = copyMs + eventMs(tokensAhead);
    const ownReadMs = eventMs(tokensAhead) - eventMs(tokensBefore);
    // What is only hoped for may have to be read after all.
    const sure = fetch?.isKnown === true ? fetched : 0;
    const missing = Math.max(0, sharedTokens - cached - sure);
    const rereadMs = isHome
      ? 0
      : (missing / engine.tokensPerMs) * options.rereadWeight +
        copyMs * options.fetchWeight;
    const slots = request.service.engine?.slots ?? Infinity;
    const taken = load.totalInFlight / slots;
    const isRemote = load.replica.failureDomain !== board.failureDomain;
    const streamMs = pieces * load.paceMs;
    const cost =
      predictedMs +
      rereadMs +
      options.streamWeight * streamMs +
      options.crowdMs * taken * taken +
      (isRemote ? options.domainMs : 0);
    return {
      load,
      unreadTokens,
      tokensAhead,
      fetch,
      isDeferred,
      predictedMs,
      ownReadMs,
      predictedWholeMs: predictedMs + streamMs,
      cost,
    };
  };

  return (request, candidates, isDeferred) => {
    const ranked = [...candidates].sort((a, b) =>
      byHashed(a.hashedId, b.hashedId),
    );
    // Groups are made of replicas that can serve them all the time. Whatever a limited
    // one takes is welcome to all, but it comes and goes from one request to the next.
    const free = ranked.filter(({ limitPerS }) => limitPerS === null);
    const limited = ranked.filter(load => !free.includes(load));
    const { own, others } = segmentsFor(request, free);
    const settled = own.length > 0 ? own : ranked;
    const base = own.length > 0 ? [...own, ...limited] : ranked;
    const prepared = prepare(request, settled, ranked, isDeferred);
    const placed = base.map(load => judge(request, load, prepared));
    const mixed = (own.length > 0 ? others : []).map(load => {
      const candidate = judge(request, load, prepared);
      return { ...candidate, cost: candidate.cost + options.mixingMs };
    });
    return [...placed, ...mixed].sort((a, b) => a.cost - b.cost);
  };
}

/** Keeps delicate streams away from long prompts, then places by first event and cache. */
export const toleranceSplit = createPolicyUnit<
  ToleranceSplitOptions,
  PlacementPolicy,
  GatewayBoard
>({
  name: 'tolerance-split',
  description:
    'Splits replicas among groups of routes by the delay that they bear, sized by demand, so that long prompts never stop delicate streams; within a group places a request where its first event is expected first, and keeps requests that share prompt parts together.',
  schema: z.object({
    delicateUse: z.number().positive().max(1).default(0.25),
    middleUse: z.number().positive().max(1).default(0.5),
    slotUse: z.number().positive().max(1).default(0.4),
    minLastShare: z.number().min(0).max(1).default(0.25),
    mixingMs: z.number().nonnegative().default(150),
    crowdMs: z.number().nonnegative().default(250),
    streamWeight: z.number().nonnegative().default(0.03),
    minDelicateShare: z.number().min(0).max(1).default(0.2),
    domainMs: z.number().nonnegative().default(2),
    rereadWeight: z.number().nonnegative().default(16),
    fetchWeight: z.number().nonnegative().default(2),
    homeChance: z.number().min(0).max(1).default(0.5),
  }),
  create: createToleranceSplit,
});
