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

const ORGANISATIONS = 510;
const INSTANCES = 370;
const DOMAINS = 6;
const LONG_MS = 1e9;
const MODEL = brand<ModelId>('model');

/** Many organisations, so that every queue structure is in use. */
function organisations(): readonly Organisation[] {
  return Array.from({ length: ORGANISATIONS }, (_, index) => ({
    kind: 'organisation',
    id: brand<OrganisationId>(`org-${index}`),
    keySha256: '0'.repeat(64),
    weight: 1 + (index % 3),
    limits: { requestsPerSecond: LONG_MS, tokensPerSecond: LONG_MS },
  }));
}

/** A router with all slots taken and a queue of the wanted length. */
export class LoadedRouter {
  readonly router: Router;
  readonly running: { id: RequestId; attempt: number }[] = [];
  #nowMs = 0;
  #sequence = 0;

  constructor(replicas: number, queued: number) {
    const instances = Array.from({ length: INSTANCES }, (_, index) =>
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
    const index = this.#sequence % ORGANISATIONS;
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

  /** One whole decision: a request ends, the next goes out, a new one comes. */
  decide(): void {
    const done = this.running.shift();
    if (done) {
      this.router.onTokens(done.id, done.attempt, 1);
      this.router.onFinished(done.id, done.attempt);
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
        firstTokenTargetMs: LONG_MS,
        betweenTokensTargetMs: LONG_MS,
        maxQueueMs: LONG_MS,
        guaranteedShare: 0.02,
        maxOutputTokens: 1000,
      })),
      modelVersions: [],
      backendServers: Array.from({ length: replicas }, (_, index) => ({
        kind: 'backendServer',
        id: brand<BackendServerId>(`engine-${index}`),
        url: 'http://127.0.0.1:1',
        failureDomain: brand<FailureDomainId>(`domain-${index % DOMAINS}`),
        models: [MODEL],
        services: [],
        capacity: 85,
        checksFencing: true,
        leaving: false,
      })),
    });
  }
}
