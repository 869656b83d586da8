import type {
  BackendServer,
  BackendServerId,
  ClassId,
  Configuration,
  DecisionEvent,
  FailureDomainId,
  InstanceId,
  ModelId,
  Organisation,
  OrganisationId,
  RequestClass,
  RequestId,
  Tier,
} from '@jujubecroft/types';
import { brand, createRandom } from '@jujubecroft/types';

import type {
  Attempt,
  PolicyFactory,
  Refusal,
  RoutedRequest,
} from '../../src/index.js';
import { createRouter } from '../../src/index.js';

export const MODEL = brand<ModelId>('model');

export function requestClass(
  id: string,
  tier: Tier,
  overrides: Partial<RequestClass> = {},
): RequestClass {
  return {
    kind: 'requestClass',
    id: brand<ClassId>(id),
    tier,
    idempotent: true,
    firstTokenTargetMs: 1000,
    betweenTokensTargetMs: 79,
    maxQueueMs: 2000,
    guaranteedShare: 0.05,
    maxOutputTokens: 1000,
    ...overrides,
  };
}

export function organisation(id: string, weight = 1): Organisation {
  return {
    kind: 'organisation',
    id: brand<OrganisationId>(id),
    keySha256: '0'.repeat(64),
    weight,
    limits: { requestsPerSecond: 1e6, tokensPerSecond: 1e9 },
  };
}

export function engine(
  id: string,
  overrides: Partial<BackendServer> = {},
): BackendServer {
  return {
    kind: 'backendServer',
    id: brand<BackendServerId>(id),
    url: 'http://127.0.0.1:1',
    failureDomain: brand<FailureDomainId>('domain-a'),
    models: [MODEL],
    services: [],
    capacity: 4,
    checksFencing: true,
    leaving: false,
    ...overrides,
  };
}

export function configuration(
  overrides: Partial<Configuration> = {},
): Configuration {
  return {
    revision: 1,
    organisations: [organisation('small'), organisation('large')],
    requestClasses: [
      requestClass('gold', 1),
      requestClass('silver', 2),
      requestClass('bronze', 4),
      requestClass('once', 2, { idempotent: false }),
    ],
    modelVersions: [{ kind: 'modelVersion', id: MODEL, version: '1' }],
    backendServers: [engine('e1'), engine('e2'), engine('e3')],
    ...overrides,
  };
}

interface SentAttempt {
  readonly id: RequestId;
  readonly attempt: Attempt;
}

/** A router with a manual clock that records all effects. */
export class RouterFixture {
  nowMs = 1000;
  readonly dispatched: SentAttempt[] = [];
  readonly cancelled: SentAttempt[] = [];
  readonly refused: { id: RequestId; refusal: Refusal }[] = [];
  readonly decisions: DecisionEvent[] = [];
  readonly router;
  #sequence = 0;

  constructor(cfg = configuration(), policies?: PolicyFactory) {
    const instance = brand<InstanceId>('entry-1');
    this.router = createRouter(
      {
        clock: () => this.nowMs,
        random: createRandom(7),
        placement: {
          instance,
          failureDomain: brand<FailureDomainId>('domain-a'),
          instances: [instance],
        },
        effects: {
          dispatch: ({ request }, attempt) => {
            this.dispatched.push({ id: request.id, attempt });
          },
          cancel: ({ request }, attempt) => {
            this.cancelled.push({ id: request.id, attempt });
          },
          refuse: ({ request }, refusal) => {
            this.refused.push({ id: request.id, refusal });
          },
          needsCandidates: () => true,
          explain: event => {
            this.decisions.push(event);
          },
        },
      },
      policies,
    );
    this.router.configure(cfg);
  }

  submit(
    className = 'gold',
    overrides: Partial<RoutedRequest> = {},
  ): RequestId {
    this.#sequence += 1;
    const id = brand<RequestId>(`r${this.#sequence}`);
    this.router.submit({
      id,
      organisation: brand<OrganisationId>('small'),
      requestClass: brand<ClassId>(className),
      target: { kind: 'engine', model: MODEL },
      promptTokens: 100,
      prefixHash: 1,
      maxOutputTokens: 100,
      idempotent: className !== 'once',
      ...overrides,
    });
    return id;
  }

  /** The latest attempt of a request. */
  attemptOf(id: RequestId): Attempt {
    const sent = this.dispatched.findLast(entry => entry.id === id);
    if (!sent) {
      throw new Error(`${id} was never dispatched`);
    }
    return sent.attempt;
  }

  /** Fills all slots with requests of one class and returns the dispatched ones. */
  fill(className = 'bronze'): RequestId[] {
    const before = this.dispatched.length;
    const ids = Array.from({ length: 12 }, () => this.submit(className));
    return ids.slice(0, this.dispatched.length - before);
  }

  /** Advances the clock, with a tick every 100 ms as in a host. */
  advance(ms: number): void {
    const endMs = this.nowMs + ms;
    while (this.nowMs < endMs) {
      this.nowMs = Math.min(endMs, this.nowMs + 100);
      this.router.tick();
    }
  }

  /** Delivers tokens and the end of the response of a dispatched request. */
  finish(id: RequestId, tokens = 1): void {
    const { number } = this.attemptOf(id);
    this.router.onTokens(id, number, tokens);
    this.router.onFinished(id, number);
  }
}
