import * as z from 'zod';
import type { PromptPart } from '@jujubecroft/types';

import { createPolicyUnit } from '../../policies/createPolicyUnit.js';
import type { BackendLoad, GatewayRequest } from '../BackendLoad.js';
import type { GatewayBoard } from '../GatewayBoard.js';
import { estimatesOf } from '../GatewayBoard.js';
import { firstEventMs } from '../firstEventMs.js';
import { prefixesOf } from '../PromptCacheEstimate.js';
import { requestRank } from '../requestRank.js';
import type { ServiceSpeeds } from '../speed/ServiceSpeeds.js';
import type { CacheHolder } from './cacheFetch.js';
import { bestHolders, chooseFetch, homeReplica } from './cacheFetch.js';
import { createHashOrder } from './createHashOrder.js';
import type { SegmentOptions } from './groupSegments.js';
import { createGroupSegments } from './groupSegments.js';
import type { PlacedCandidate, PlacementPolicy } from './PlacementPolicy.js';

interface ToleranceSplitOptions extends SegmentOptions {
  /** Cost of a replica of another group, in milliseconds. */
  readonly mixingMs: number;
  /**
   * Cost of a replica with all slots taken, in milliseconds. The cost grows
   * with the square of the occupied share, since decoding steps slow down and
   * requests begin to wait.
   */
  readonly crowdMs: number;
  /**
   * Weight of the time from the first event to the last, relative to the time
   * to the first.
   */
  readonly streamWeight: number;
  /**
   * The same weight where replicas are uneven. The time of long answers then
   * differs many times as much between replicas as that of short ones, so that
   * they go to fast ones.
   */
  readonly unevenStreamWeight: number;
  /**
   * Weight of the time to read the prompt where replicas are uneven, in addition to
   * its part of the time to the first event. Reading holds up all other streams on
   * the replica, on a slow one more than twice as long.
   */
  readonly unevenReadWeight: number;
  /** Range of a random cost where replicas are uneven, in milliseconds. */
  readonly unevenSpreadMs: number;
  /**
   * Cost of a replica that is known to reject requests because it is full, in
   * milliseconds; more than all other costs together.
   */
  readonly fullMs: number;
  /**
   * Cost of a replica in another failure domain, in milliseconds; about one
   * round trip.
   */
  readonly domainMs: number;
  /**
   * Weight of the time to read shared tokens again that the replica may not
   * cache.
   */
  readonly rereadWeight: number;
  /** Weight of the time to copy them from another replica instead. */
  readonly fetchWeight: number;
  /**
   * Probability that shared parts are cached at their home replica although
   * this instance did not send them there.
   */
  readonly homeChance: number;
}

/**
 * Prompt parts that other requests may share: all but the last, which is the
 * request's own.
 */
function sharedParts({ prompt }: GatewayRequest): readonly PromptPart[] {
  return prompt?.parts.slice(0, -1) ?? [];
}

function tokensOf(parts: readonly PromptPart[]): number {
  return parts.reduce((sum, { tokens }) => sum + tokens, 0);
}

/**
 * Facts about a request that are the same for all replicas that it may go to.
 */
interface RequestContext {
  readonly promptTokens: number;
  readonly sharedTokens: number;
  /** Expected number of pieces of the answer. */
  readonly pieces: number;
  /** Home replica of the last shared part; see {@link homeReplica}. */
  readonly home: BackendLoad | undefined;
  /** Replicas that probably cache most of the shared parts, best first. */
  readonly holders: readonly CacheHolder[];
  /** Prompt tokens that each replica caches, as far as this instance knows. */
  readonly cached: ReadonlyMap<BackendLoad, number>;
  /** Rank at which a replica would serve the request. */
  readonly rank: number;
  readonly isDeferred: boolean;
  /** Undefined where replicas count as equally fast. */
  readonly speeds: ServiceSpeeds | undefined;
}

function createToleranceSplit(
  board: GatewayBoard,
  options: ToleranceSplitOptions,
): PlacementPolicy {
  const segmentsFor = createGroupSegments(board, options);
  const orderByHash = createHashOrder();

  const createContext = (
    request: GatewayRequest,
    loads: readonly BackendLoad[],
    all: readonly BackendLoad[],
    isDeferred: boolean,
    speeds: ServiceSpeeds | undefined,
  ): RequestContext => {
    const { prompt, route, service } = request;
    const shared = sharedParts(request);
    const last = shared.at(-1);
    const capacityOf = speeds
      ? (load: BackendLoad): number => speeds.capacityOf(load)
      : null;
    const home = last && homeReplica(last, loads, capacityOf);
    const prefixes = prefixesOf(prompt?.parts ?? []);
    const sharedTokens = tokensOf(shared);
    const cached = new Map(
      all.map(load => [load, load.cacheEstimate.cachedTokens(prefixes)]),
    );
    const holders = [...cached].map(([load, known]) => {
      const likelyTokens =
        load === home ? options.homeChance * sharedTokens : 0;
      const knownTokens = Math.min(known, sharedTokens);
      return {
        load,
        tokens: Math.max(likelyTokens, knownTokens),
        isKnown: knownTokens >= likelyTokens,
      };
    });
    const urgency = isDeferred ? 'deferred' : 'new';
    return {
      promptTokens: prompt?.promptTokens ?? 0,
      sharedTokens,
      pieces: board.lengths.predict(route.id, prompt, service),
      home,
      holders: bestHolders(holders),
      cached,
      rank: requestRank(board, request, urgency),
      isDeferred,
      speeds,
    };
  };

  const evaluate = (
    request: GatewayRequest,
    load: BackendLoad,
    context: RequestContext,
  ): PlacedCandidate => {
    const { promptTokens, sharedTokens, pieces, isDeferred, speeds } = context;
    const { engine } = estimatesOf(board, request.service.id);
    const speedFactor = speeds?.factorOf(load) ?? 1;
    const isHome = load === context.home;
    const cached = context.cached.get(load) ?? 0;
    const ownTokens = isHome
      ? Math.max(cached, options.homeChance * sharedTokens)
      : cached;
    const fetch = chooseFetch({
      holders: context.holders,
      target: load,
      ownTokens,
      tokensPerMs: engine.tokensPerMs,
      spec: request.service.engine,
    });
    const fetchedTokens = fetch?.tokens ?? 0;
    const copyMs = fetch?.copyMs ?? 0;
    const unreadTokens = Math.max(0, promptTokens - ownTokens - fetchedTokens);
    const tokensBefore = load.unreadTokensAhead(context.rank);
    const tokensAhead = tokensBefore + unreadTokens;
    const { priority } = request;
    const eventMs = (tokens: number): number =>
      firstEventMs(engine, load, { priority, isDeferred, tokens }, speedFactor);
    const predictedMs = copyMs + eventMs(tokensAhead);
    const ownReadMs = eventMs(tokensAhead) - eventMs(tokensBefore);
    // Tokens that are only likely to be cached may have to be read after all.
    const certainTokens = fetch?.isKnown === true ? fetchedTokens : 0;
    const uncertainTokens = Math.max(0, sharedTokens - cached - certainTokens);
    const rereadMs = isHome
      ? 0
      : (uncertainTokens / engine.tokensPerMs) * options.rereadWeight +
        copyMs * options.fetchWeight;
    const slots = request.service.engine?.slots ?? Infinity;
    const occupancy = load.totalInFlight / slots;
    const isRemote = load.replica.failureDomain !== board.failureDomain;
    const streamMs =
      pieces *
      (speeds?.intervalMs(request.route.id, load) ?? load.eventIntervalMs);
    const streamWeight = speeds
      ? options.unevenStreamWeight
      : options.streamWeight;
    const fullMs = speeds && load.isFull ? options.fullMs : 0;
    // The reports that instances decide by are old, so that all of them would choose
    // the same replica.
    const spreadMs = speeds ? board.random() * options.unevenSpreadMs : 0;
    const harmMs = speeds ? ownReadMs * options.unevenReadWeight : 0;
    const cost =
      predictedMs +
      rereadMs +
      streamWeight * streamMs +
      options.crowdMs * occupancy * occupancy +
      (isRemote ? options.domainMs : 0) +
      fullMs +
      harmMs +
      spreadMs;
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
    const speeds = board.speeds.current(request.service.id);
    const ranked = orderByHash(candidates);
    // Only replicas without a limit are divided into groups, because they can
    // serve a group all the time. Requests of every group may use a replica
    // with a limit, but whether it has room changes from one request to the
    // next.
    const unlimited = ranked.filter(({ limitPerS }) => limitPerS === null);
    const limited = ranked.filter(({ limitPerS }) => limitPerS !== null);
    const { own, others } = segmentsFor(request, unlimited, speeds);
    const homeCandidates = own.length > 0 ? own : ranked;
    const ownCandidates = own.length > 0 ? [...own, ...limited] : ranked;
    const context = createContext(
      request,
      homeCandidates,
      ranked,
      isDeferred,
      speeds,
    );
    const placed = ownCandidates.map(load => evaluate(request, load, context));
    const borrowed = (own.length > 0 ? others : []).map(load => {
      const candidate = evaluate(request, load, context);
      return {
        ...candidate,
        cost: candidate.cost + options.mixingMs,
      };
    });
    return [...placed, ...borrowed].sort((a, b) => a.cost - b.cost);
  };
}

/**
 * Keeps delicate streams away from long prompts, then places requests by the
 * predicted time to the first event and by cached prompt parts.
 */
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
    unevenStreamWeight: z.number().nonnegative().default(0.1),
    unevenReadWeight: z.number().nonnegative().default(3),
    unevenSpreadMs: z.number().nonnegative().default(100),
    fullMs: z.number().nonnegative().default(100_000),
    minDelicateShare: z.number().min(0).max(1).default(0.2),
    domainMs: z.number().nonnegative().default(2),
    rereadWeight: z.number().nonnegative().default(16),
    fetchWeight: z.number().nonnegative().default(2),
    homeChance: z.number().min(0).max(1).default(0.5),
  }),
  create: createToleranceSplit,
});
