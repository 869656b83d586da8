import type {
  GatewayRequest,
  GatewayRouter,
  Match,
} from '@jujubecroft/decisions';
import type {
  RequestFingerprint,
  RequestId,
  RoutedOrganisation,
} from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import type { RequestKind } from './burstLoad.js';
import { MAX_OWN_TOKENS } from './burstLoad.js';
import type { ReplayShape } from './replayShapes.js';

type Matched = Extract<Match, { kind: 'matched' }>;

/** Draws the requests of a load: prompt, caller and matched route. */
export class ReplayCallers {
  #requestCount = 0;

  /**
   * @param shape - size of the fleet, with its load
   * @param random - random source that everything in a replay draws from, except
   *   for a surge
   * @param names - prefix of the names of requests, unique in a replay
   */
  constructor(
    private readonly shape: ReplayShape,
    private readonly random: () => number,
    private readonly names = 'q',
  ) {}

  /**
   * Draws one request, which arrives now.
   *
   * @param kind - kind of the request
   * @param router - decision logic of the instance that receives it
   * @param nowMs - time of arrival, in milliseconds
   * @param caller - organisation that sends it; drawn if omitted
   */
  drawRequest(
    kind: RequestKind,
    router: GatewayRouter,
    nowMs: number,
    caller = this.#drawCaller(),
  ): GatewayRequest {
    const { sharedTokens, sharedParts, medianOwnTokens } = kind;
    const { route, service, organisation, priority } = this.#match(
      kind,
      router,
      caller,
    );
    this.#requestCount += 1;
    const sharedPart = Math.floor(
      this.random() * sharedParts * this.shape.scale,
    );
    const own = this.#drawOwnTokens(medianOwnTokens);
    const name = `${this.names}-${this.#requestCount}`;
    return {
      id: brand<RequestId>(name),
      route,
      service,
      organisation: organisation?.id ?? null,
      priority,
      prompt: {
        promptTokens: sharedTokens + own,
        maxOutputTokens: kind.outputTokens,
        parts: [
          { id: `${route.id}-${sharedPart}`, tokens: sharedTokens },
          { id: `own-${name}`, tokens: own },
        ],
        expectedOutputTokens: null,
      },
      arrivedMs: nowMs,
      deadlineMs: nowMs + route.timeoutMs,
      isCallerRetry: false,
      binding: null,
      resumption: null,
      fingerprint: () => brand<RequestFingerprint>(name),
      partKeys: () => [],
    };
  }

  #match(
    { route }: RequestKind,
    router: GatewayRouter,
    caller: RoutedOrganisation | undefined,
  ): Matched {
    const key = caller?.keys[0] ?? null;
    const match = router.match(route.host, `${route.prefix}one`, key);
    if (match.kind === 'refused') {
      throw new Error(`the load's own route was refused: ${match.code}`);
    }
    return match;
  }

  #drawCaller(): RoutedOrganisation | undefined {
    const callers = this.shape.load.organisations ?? [];
    return callers.length > 1
      ? callers[Math.floor(this.random() * callers.length)]
      : callers[0];
  }

  #drawOwnTokens(median: number): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.random()));
    const normal = radius * Math.cos(2 * Math.PI * this.random());
    const drawn = Math.ceil(
      median * Math.exp(this.shape.load.ownTokensSigma * normal),
    );
    return Math.min(MAX_OWN_TOKENS, drawn);
  }
}
