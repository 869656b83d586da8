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

import type { BurstKind } from './burstLoad.js';
import { MAX_OWN_TOKENS } from './burstLoad.js';
import type { ReplayShape } from './replayShapes.js';

type Matched = Extract<Match, { kind: 'matched' }>;

/** Callers of a load: draws what each request asks for and who sends it. */
export class ReplayCallers {
  #requests = 0;

  /**
   * @param shape - of the fleet, with its load
   * @param random - shared with all that is drawn in a replay
   */
  constructor(
    private readonly shape: ReplayShape,
    private readonly random: () => number,
  ) {}

  /**
   * Draws one request.
   *
   * @param kind - of the request
   * @param router - of the instance that it comes to
   * @param nowMs - when it comes
   */
  requestOf(
    kind: BurstKind,
    router: GatewayRouter,
    nowMs: number,
  ): GatewayRequest {
    const { sharedTokens, things, ownTokens } = kind;
    const { route, service, organisation, priority } = this.#match(
      kind,
      router,
    );
    this.#requests += 1;
    const thing = Math.floor(this.random() * things * this.shape.scale);
    const own = this.#drawOwn(ownTokens);
    const name = `q-${this.#requests}`;
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
          { id: `${route.id}-${thing}`, tokens: sharedTokens },
          { id: `own-${this.#requests}`, tokens: own },
        ],
        expectedOutputTokens: null,
      },
      arrivedMs: nowMs,
      deadlineMs: nowMs + route.timeoutMs,
      isCallerRetry: false,
      fingerprint: () => brand<RequestFingerprint>(name),
    };
  }

  #match({ route }: BurstKind, router: GatewayRouter): Matched {
    const key = this.#drawCaller()?.keys[0] ?? null;
    const match = router.match(route.host, `${route.prefix}one`, key);
    if (match.kind === 'refused') {
      throw new Error(`the load's own route is refused: ${match.code}`);
    }
    return match;
  }

  #drawCaller(): RoutedOrganisation | undefined {
    const callers = this.shape.load.organisations ?? [];
    return callers.length > 1
      ? callers[Math.floor(this.random() * callers.length)]
      : callers[0];
  }

  #drawOwn(median: number): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.random()));
    const normal = radius * Math.cos(2 * Math.PI * this.random());
    const drawn = Math.ceil(
      median * Math.exp(this.shape.load.ownSpread * normal),
    );
    return Math.min(MAX_OWN_TOKENS, drawn);
  }
}
