import type { Router } from '@jujubecroft/decisions';
import { createRouter } from '@jujubecroft/decisions';
import type {
  BackendServerId,
  ClassId,
  FailureDomainId,
  InstanceId,
  ModelId,
  Organisation,
  OrganisationId,
  RequestId,
} from '@jujubecroft/types';
import { brand, createRandom } from '@jujubecroft/types';

const ORGANISATION_COUNT = 510;
const INSTANCE_COUNT = 370;
const FAILURE_DOMAIN_COUNT = 6;
const UNLIMITED = 1e9;
const MODEL = brand<ModelId>('model');

/** Enough organisations that every queue structure is in use. */
function organisations(): readonly Organisation[] {
  return Array.from({ length: ORGANISATION_COUNT }, (_, index) => ({
    kind: 'organisation',
    id: brand<OrganisationId>(`org-${index}`),
    keySha256: '0'.repeat(64),
    weight: 1 + (index % 3),
    limits: { requestsPerSecond: UNLIMITED, tokensPerSecond: UNLIMITED },
  }));
}

/** A router with all slots taken and a queue of a given length. */
export class LoadedRouter {
  readonly router: Router;
  readonly running: { id: RequestId; attempt: number }[] = [];
  #nowMs = 0;
  #sequence = 0;

  /**
   * @param replicas - number of backend servers
   * @param queued - length of the queue, in requests
   */
  constructor(replicas: number, queued: number) {
    const instances = Array.from({ length: INSTANCE_COUNT }, (_, index) =>
      brand<InstanceId>(`entry-${index}`),
    );
    const [instance = brand<InstanceId>('entry-0')] = instances;
    this.router = createRouter({
      clock: () => this.#nowMs,
      random: createRandom(1),
      placement: {
        instance,
        failureDomain: brand<FailureDomainId>('domain-0'),
        instances,
      },
      effects: {
        dispatch: ({ request }, { number }) => {
          this.running.push({ id: request.id, attempt: number });
        },
        cancel: () => undefined,
        refuse: () => undefined,
        explain: () => undefined,
        needsCandidates: () => false,
      },
    });
    this.#configure(replicas);
    while (this.#queueLength() < queued) {
      this.submit();
    }
  }

  submit(): void {
    this.#sequence += 1;
    this.#nowMs += 0.01;
    const index = this.#sequence % ORGANISATION_COUNT;
    this.router.submit({
      id: brand<RequestId>(`r${this.#sequence}`),
      organisation: brand<OrganisationId>(`org-${index}`),
      requestClass: brand<ClassId>(`class-${1 + (this.#sequence % 4)}`),
      target: { kind: 'engine', model: MODEL },
      promptTokens: 300,
      prefixHash: index,
      maxOutputTokens: 400,
      idempotent: true,
    });
  }

  /** Runs one full decision cycle: a request ends, the next is dispatched, a new one is queued. */
  decide(): void {
    const finished = this.running.shift();
    if (finished) {
      this.router.onTokens(finished.id, finished.attempt, 1);
      this.router.onFinished(finished.id, finished.attempt);
    }
    this.submit();
  }

  #queueLength(): number {
    return [...this.router.board.queues.values()].reduce(
      (sum, { length }) => sum + length,
      0,
    );
  }

  #configure(replicas: number): void {
    this.router.configure({
      revision: 1,
      organisations: organisations(),
      requestClasses: ([1, 2, 3, 4] as const).map(tier => ({
        kind: 'requestClass',
        id: brand<ClassId>(`class-${tier}`),
        tier,
        idempotent: true,
        firstTokenTargetMs: UNLIMITED,
        betweenTokensTargetMs: UNLIMITED,
        maxQueueMs: UNLIMITED,
        guaranteedShare: 0.02,
        maxOutputTokens: 1000,
      })),
      modelVersions: [],
      backendServers: Array.from({ length: replicas }, (_, index) => ({
        kind: 'backendServer',
        id: brand<BackendServerId>(`engine-${index}`),
        url: 'http://127.0.0.1:1',
        failureDomain: brand<FailureDomainId>(
          `domain-${index % FAILURE_DOMAIN_COUNT}`,
        ),
        models: [MODEL],
        services: [],
        capacity: 85,
        checksFencing: true,
        leaving: false,
      })),
    });
  }
}
