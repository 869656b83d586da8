import type {
  CacheTransfer,
  Route,
  RoutedOrganisation,
  RouteId,
  ServiceId,
} from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import type { PromptEngineParameters } from './PromptEngine.js';

/** One kind of request in a load. */
export interface RequestKind {
  readonly route: Route;
  /** Arrivals per second outside of the burst. */
  readonly perS: number;
  /** Factor that the rate is multiplied by during the burst. */
  readonly burst: number;
  readonly sharedTokens: number;
  /** Number of distinct shared prompt parts; each request uses one of them. */
  readonly sharedParts: number;
  /** Median length of the part that is not shared; lengths are log-normal, so some are very long. */
  readonly medianOwnTokens: number;
  readonly outputTokens: number;
}

/** Requests of a simulated load, with the engines and callers. */
export interface ReplayLoad {
  readonly kinds: readonly RequestKind[];
  /** Standard deviation of the logarithm of the length of the part that is not shared. */
  readonly ownTokensSigma: number;
  /** Model of all engines. */
  readonly engine: PromptEngineParameters;
  /** Copying of caches between engines; null if they do not support it. */
  readonly transfer: CacheTransfer | null;
  /** Calling organisations; null if calls need no key. */
  readonly organisations: readonly RoutedOrganisation[] | null;
}

/** The only service of a load; all engines are its replicas. */
export const PROMPT_SERVICE = brand<ServiceId>('prompts');

/**
 * Creates a route to the only service of a load.
 *
 * @param name - id of the route, also its path prefix
 * @param figures - targets, priority and time limit, which differ between routes
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
 * of the two users, with a burst of long and live requests.
 */
const BURST_KINDS: readonly RequestKind[] = [
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
    sharedParts: 200,
    medianOwnTokens: 2500,
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
    sharedParts: 190,
    medianOwnTokens: 380,
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
    sharedParts: 150,
    medianOwnTokens: 800,
    outputTokens: 22,
  },
];

/** Maximum length of the part of a prompt that is not shared, in tokens. */
export const MAX_OWN_TOKENS = 50_000;

/** An engine of the class that the users operate. */
const BURST_ENGINE: PromptEngineParameters = {
  slots: 64,
  stepMs: 3.7,
  stepPerRequestMs: 0.08,
  prefillTokensPerMs: 80,
  attentionMsPerMillionPairs: 0,
  chunkTokens: 4096,
  tokensPerEvent: 5,
};

/** Invoices (`long`), chefs' costings (`live`) and price checks (`short`) at the peak of the larger user, with a burst. */
export const BURST_LOAD: ReplayLoad = {
  kinds: BURST_KINDS,
  ownTokensSigma: 1.4,
  engine: BURST_ENGINE,
  transfer: null,
  organisations: null,
};
