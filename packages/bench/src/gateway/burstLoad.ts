import type {
  CacheTransfer,
  Route,
  RoutedOrganisation,
  RouteId,
  ServiceId,
} from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import type { PromptEngineFigures } from './PromptEngine.js';

/** One kind of request of the load. */
export interface BurstKind {
  readonly route: Route;
  readonly perS: number;
  /** Share of the load in the burst, against the usual. */
  readonly burst: number;
  readonly sharedTokens: number;
  /** Things that requests are about; each has a shared part of its own. */
  readonly things: number;
  /** Median of the own part; lengths are log-normal, so some are very long. */
  readonly ownTokens: number;
  readonly outputTokens: number;
}

/** What callers ask for, and the engines that it is asked of. */
export interface ReplayLoad {
  readonly kinds: readonly BurstKind[];
  /** Spread of the own part's length. */
  readonly ownSpread: number;
  readonly engine: PromptEngineFigures;
  /** Null where engines can't copy their caches. */
  readonly transfer: CacheTransfer | null;
  /** Who calls; null where callers need no key. */
  readonly organisations: readonly RoutedOrganisation[] | null;
}

export const PROMPT_SERVICE = brand<ServiceId>('prompts');

/**
 * A route of the load's only service.
 *
 * @param name - its id
 * @param figures - what tells it from others
 */
export function promptRoute(
  name: string,
  figures: Pick<
    Route,
    'gapTargetMs' | 'latencyTargetMs' | 'priority' | 'resumable' | 'timeoutMs'
  >,
): Route {
  return {
    ...figures,
    id: brand<RouteId>(name),
    host: 'load.example',
    prefix: `/${name}/`,
    kind: 'streaming',
    maxAttempts: 1,
    isPublic: true,
    shares: [{ service: PROMPT_SERVICE, weight: 1 }],
  };
}

/**
 * Long reports, live answers and short checks at the peak rates of the larger
 * of the two users, with a burst of long prompts on top and one of live ones in it.
 */
const BURST_KINDS: readonly BurstKind[] = [
  {
    route: promptRoute('long', {
      latencyTargetMs: 2000,
      gapTargetMs: 1000,
      priority: 2,
      resumable: false,
      timeoutMs: 15_000,
    }),
    perS: 22,
    burst: 2.2,
    sharedTokens: 5000,
    things: 200,
    ownTokens: 2500,
    outputTokens: 380,
  },
  {
    route: promptRoute('live', {
      latencyTargetMs: 300,
      gapTargetMs: 250,
      priority: 0,
      resumable: true,
      timeoutMs: 15_000,
    }),
    perS: 18,
    burst: 2,
    sharedTokens: 200,
    things: 190,
    ownTokens: 380,
    outputTokens: 290,
  },
  {
    route: promptRoute('short', {
      latencyTargetMs: 500,
      gapTargetMs: 400,
      priority: 1,
      resumable: false,
      timeoutMs: 3000,
    }),
    perS: 30,
    burst: 1,
    sharedTokens: 570,
    things: 150,
    ownTokens: 800,
    outputTokens: 22,
  },
];

/** Longest own part, in tokens. */
export const MAX_OWN_TOKENS = 50_000;

/** An engine of the class that the users run. */
const BURST_ENGINE: PromptEngineFigures = {
  slots: 64,
  stepMs: 3.7,
  perSlotMs: 0.08,
  tokensPerMs: 80,
  pairsMsPerMillion: 0,
  chunkTokens: 4096,
  tokensPerEvent: 5,
};

/** Invoices, chefs' costings and price checks at the peak of the larger user. */
export const BURST_LOAD: ReplayLoad = {
  kinds: BURST_KINDS,
  ownSpread: 1.4,
  engine: BURST_ENGINE,
  transfer: null,
  organisations: null,
};
