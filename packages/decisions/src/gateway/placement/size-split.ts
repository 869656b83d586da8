import murmurhash from 'murmurhash';
import { z } from 'zod';
import type { PromptPart } from '@jujubecroft/types';

import { createPolicyUnit } from '../../policies/createPolicyUnit.js';
import type { BackendLoad, GatewayRequest } from '../BackendLoad.js';
import type { GatewayBoard } from '../GatewayBoard.js';
import { learningOf } from '../GatewayBoard.js';
import type { PlacedCandidate, PlacementPolicy } from './PlacementPolicy.js';

interface SizeSplitOptions {
  /** Prompts with fewer unread tokens count as short. */
  readonly shortTokens: number;
  /** Share of the time for which replicas of short prompts may read. */
  readonly shortUse: number;
  /** Share of a service's replicas that short prompts have to themselves, at most. */
  readonly maxShortShare: number;
  /** What a replica of long prompts costs a short one, in milliseconds. */
  readonly mixingMs: number;
  /** What each request in flight costs, in milliseconds of step time. */
  readonly perRequestMs: number;
  /** What another failure domain costs, in milliseconds; about a round trip. */
  readonly domainMs: number;
  /** Chance that a part is kept where the hash puts it, though not by us. */
  readonly homeChance: number;
}

/** Order of replicas that all instances agree on without talking. */
function byRank(loads: readonly BackendLoad[]): readonly BackendLoad[] {
  return [...loads].sort(
    (a, b) =>
      murmurhash.v3(a.replica.id) - murmurhash.v3(b.replica.id) ||
      (a.replica.id < b.replica.id ? -1 : 1),
  );
}

/** The replica on which all instances would put a prompt part. */
function homeOf(
  part: PromptPart,
  loads: readonly BackendLoad[],
): BackendLoad | undefined {
  return loads.reduce<{ load: BackendLoad; weight: number } | undefined>(
    (best, load) => {
      const weight = murmurhash.v3(`${part.id}/${load.replica.id}`);
      return best && best.weight >= weight ? best : { load, weight };
    },
    undefined,
  )?.load;
}

/** The last part that other requests can share; the last of all is the request's own. */
function lastShared(request: GatewayRequest): PromptPart | undefined {
  return request.prompt?.parts.at(-2);
}

function createSizeSplit(
  board: GatewayBoard,
  options: SizeSplitOptions,
): PlacementPolicy {
  /** Replicas that take no long prompts: as many as the short ones need. */
  const shortCount = (request: GatewayRequest, count: number): number => {
    const { engine, shortDemand } = learningOf(board, request.service.id);
    const perMs = shortDemand.perMs * board.instances;
    const needed = Math.ceil(perMs / engine.tokensPerMs / options.shortUse);
    const most = Math.floor(count * options.maxShortShare);
    return Math.min(most, Math.max(1, needed));
  };

  const judge = (
    request: GatewayRequest,
    load: BackendLoad,
    isHome: boolean,
  ): PlacedCandidate => {
    const { engine } = learningOf(board, request.service.id);
    const prompt = request.prompt;
    const parts = prompt?.parts ?? [];
    const total = prompt?.promptTokens ?? 0;
    const cached = load.memory.cachedTokens(parts);
    const shareable = parts
      .slice(0, -1)
      .reduce((sum, { tokens }) => sum + tokens, 0);
    const hoped = isHome
      ? Math.max(cached, options.homeChance * shareable)
      : cached;
    const unreadTokens = Math.max(0, total - cached);
    const aheadMs =
      (load.unreadTokens + Math.max(0, total - hoped)) / engine.tokensPerMs;
    const predictedMs = engine.baseMs + load.slowness * aheadMs;
    const remote = load.replica.failureDomain !== board.failureDomain;
    const cost =
      predictedMs +
      options.perRequestMs * load.totalInFlight +
      (remote ? options.domainMs : 0);
    return { load, unreadTokens, predictedMs, cost };
  };

  return (request, candidates) => {
    const ranked = byRank(candidates);
    const shorts = new Set(
      ranked.slice(0, shortCount(request, candidates.length)),
    );
    const total = request.prompt?.promptTokens ?? 0;
    const isShort = total < options.shortTokens;
    const pool = isShort ? ranked : ranked.filter(load => !shorts.has(load));
    const shared = lastShared(request);
    const homes = ranked.filter(load => shorts.has(load) === isShort);
    const home = shared && homeOf(shared, homes.length > 0 ? homes : ranked);
    return (pool.length > 0 ? pool : ranked)
      .map(load => {
        const placed = judge(request, load, load === home);
        const mixing = isShort && !shorts.has(load) ? options.mixingMs : 0;
        return { ...placed, cost: placed.cost + mixing };
      })
      .sort((a, b) => a.cost - b.cost);
  };
}

/** Keeps long prompts away from short ones, then places by expected first event. */
export const sizeSplit = createPolicyUnit<
  SizeSplitOptions,
  PlacementPolicy,
  GatewayBoard
>({
  name: 'size-split',
  description:
    'Keeps as many replicas free of long prompts as the short ones need, and within each group places a request where its first event is expected first, by tokens still to be read there, parts kept in cache and observed speed.',
  schema: z.object({
    shortTokens: z.number().positive().default(5000),
    shortUse: z.number().positive().max(1).default(0.35),
    maxShortShare: z.number().min(0).max(1).default(0.4),
    mixingMs: z.number().nonnegative().default(100),
    perRequestMs: z.number().nonnegative().default(0.4),
    domainMs: z.number().nonnegative().default(2),
    homeChance: z.number().min(0).max(1).default(0.5),
  }),
  create: createSizeSplit,
});
