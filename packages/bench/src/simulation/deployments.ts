import { createHash } from 'node:crypto';
import { engineModelSchema } from '@jujubecroft/settings';
import type {
  BackendServer,
  BackendServerId,
  ClassId,
  FailureDomainId,
  Organisation,
  OrganisationId,
  RequestClass,
  Tier,
} from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import { SIM_MODEL, SIM_SERVICE } from './runArm.js';
import type { Scenario, SimStream } from './Scenario.js';

/** Sizes of one deployment, as the brief gives them. */
interface DeploymentSize {
  readonly name: string;
  readonly instances: number;
  readonly engines: number;
  readonly services: number;
  readonly failureDomains: readonly string[];
  readonly callerMs: number;
}

/** What a class is, and its share of the engine capacity in ordinary load. */
interface ClassSpec {
  readonly id: string;
  readonly tier: Tier;
  readonly target: 'engine' | 'service';
  readonly idempotent: boolean;
  readonly firstTokenTargetMs: number;
  readonly betweenTokensTargetMs: number;
  readonly maxQueueMs: number;
  readonly guaranteedShare: number;
  readonly promptTokens: number;
  readonly prefixTokens: number;
  readonly meanTokens: number;
  /** Engines: share of token capacity. Services: calls a second. */
  readonly load: number;
  readonly patienceMs: number;
}

const ENGINE_CAPACITY = 85;
const SERVICE_CONCURRENCY = 16;
const SERVICE_MEAN_MS = 20;
const ORGANISATIONS = 10;
const LARGE_ORGANISATIONS = 3;
/** Share of the calls that the large organisations send. */
const LARGE_SHARE = 0.6;
const SECONDS = 60;
const REPORT_LAG_MS = 500;
const PREFIXES = 12;
const FICKLE = 0.01;
const FIRST_PATIENCE_FACTOR = 6;
const MIN_FIRST_PATIENCE_MS = 3000;
const UNLIMITED = 1e9;

/** Tokens a second of one engine with a full batch at the between-tokens target. */
export const ENGINE_TOKENS_PER_SECOND = 1050;

function organisations(): readonly Organisation[] {
  return Array.from({ length: ORGANISATIONS }, (_, index) => ({
    kind: 'organisation',
    id: brand<OrganisationId>(`org-${index + 1}`),
    keySha256: createHash('sha256').update(`${index}`).digest('hex'),
    weight: 1,
    limits: { requestsPerSecond: UNLIMITED, tokensPerSecond: UNLIMITED },
  }));
}

function servers(size: DeploymentSize): readonly BackendServer[] {
  const domainOf = (index: number): FailureDomainId =>
    brand<FailureDomainId>(
      size.failureDomains[index % size.failureDomains.length] ?? '',
    );
  const base = {
    kind: 'backendServer' as const,
    url: 'http://127.0.0.1:1',
    checksFencing: true,
    leaving: false,
  };
  const engines = Array.from({ length: size.engines }, (_, index) => ({
    ...base,
    id: brand<BackendServerId>(`engine-${index + 1}`),
    failureDomain: domainOf(index),
    models: [SIM_MODEL],
    services: [],
    capacity: ENGINE_CAPACITY,
  }));
  const services = Array.from({ length: size.services }, (_, index) => ({
    ...base,
    id: brand<BackendServerId>(`service-${index + 1}`),
    failureDomain: domainOf(index),
    models: [],
    services: [SIM_SERVICE],
    capacity: SERVICE_CONCURRENCY,
  }));
  return [...engines, ...services];
}

function rulesOf(spec: ClassSpec): RequestClass {
  const {
    id,
    tier,
    idempotent,
    firstTokenTargetMs,
    betweenTokensTargetMs,
    maxQueueMs,
    guaranteedShare,
  } = spec;
  return {
    kind: 'requestClass',
    id: brand<ClassId>(id),
    tier,
    idempotent,
    firstTokenTargetMs,
    betweenTokensTargetMs,
    maxQueueMs,
    guaranteedShare,
    maxOutputTokens: 4096,
  };
}

function streamsOf(spec: ClassSpec, engines: number): readonly SimStream[] {
  const perSecond =
    spec.target === 'engine'
      ? (spec.load * engines * ENGINE_TOKENS_PER_SECOND) / spec.meanTokens
      : spec.load;
  return Array.from({ length: ORGANISATIONS }, (_, index) => {
    const isLarge = index < LARGE_ORGANISATIONS;
    const share = isLarge
      ? LARGE_SHARE / LARGE_ORGANISATIONS
      : (1 - LARGE_SHARE) / (ORGANISATIONS - LARGE_ORGANISATIONS);
    return {
      requestClass: spec.id,
      organisation: `org-${index + 1}`,
      target: spec.target,
      requestsPerSecond: perSecond * share,
      promptTokens: spec.promptTokens,
      prefixTokens: spec.prefixTokens,
      prefixes: PREFIXES,
      meanTokens: spec.meanTokens,
      lengthShape: 1,
      firstPatienceMs: Math.max(
        MIN_FIRST_PATIENCE_MS,
        spec.firstTokenTargetMs * FIRST_PATIENCE_FACTOR,
      ),
      patienceMs: spec.patienceMs,
      fickle: spec.target === 'engine' ? FICKLE : 0,
    };
  });
}

function scenarioOf(
  size: DeploymentSize,
  specs: readonly ClassSpec[],
): Scenario {
  return {
    name: size.name,
    seconds: SECONDS,
    instances: size.instances,
    failureDomains: size.failureDomains,
    organisations: organisations(),
    classes: specs.map(rulesOf),
    servers: servers(size),
    engineModel: engineModelSchema.parse({}),
    serviceConcurrency: SERVICE_CONCURRENCY,
    serviceMeanMs: SERVICE_MEAN_MS,
    networkMs: 1,
    callerMs: size.callerMs,
    reportLagMs: REPORT_LAG_MS,
    streams: specs.flatMap(spec => streamsOf(spec, size.engines)),
    faults: [],
  };
}

/** Shape of a plain-service class. */
const SERVICE_CALL = {
  target: 'service' as const,
  betweenTokensTargetMs: 1000,
  guaranteedShare: 0.05,
  promptTokens: 0,
  prefixTokens: 0,
  meanTokens: 1,
  patienceMs: 20_000,
};

/** Trosak Kuhinje: food cost for restaurants; 8 engines and 3 services. */
export function trosakKuhinje(): Scenario {
  const size: DeploymentSize = {
    name: 'trosak',
    instances: 8,
    engines: 8,
    services: 3,
    failureDomains: ['split-a', 'split-b', 'solin'],
    callerMs: 1,
  };
  return scenarioOf(size, [
    {
      id: 'recipe-costing',
      tier: 1,
      target: 'engine',
      idempotent: true,
      firstTokenTargetMs: 410,
      betweenTokensTargetMs: 79,
      maxQueueMs: 3000,
      guaranteedShare: 0,
      promptTokens: 400,
      prefixTokens: 200,
      meanTokens: 150,
      load: 0.25,
      patienceMs: 60_000,
    },
    {
      id: 'supplier-lookup',
      tier: 2,
      target: 'engine',
      idempotent: true,
      firstTokenTargetMs: 1000,
      betweenTokensTargetMs: 100,
      maxQueueMs: 1000,
      guaranteedShare: 0.05,
      promptTokens: 300,
      prefixTokens: 150,
      meanTokens: 120,
      load: 0.2,
      patienceMs: 45_000,
    },
    {
      ...SERVICE_CALL,
      id: 'menu-price-check',
      tier: 2,
      idempotent: false,
      firstTokenTargetMs: 500,
      maxQueueMs: 500,
      load: 200,
    },
    {
      ...SERVICE_CALL,
      id: 'stock-snapshot',
      tier: 3,
      idempotent: true,
      firstTokenTargetMs: 2000,
      maxQueueMs: 2000,
      load: 200,
    },
    {
      id: 'invoice-reconciliation',
      tier: 4,
      target: 'engine',
      idempotent: true,
      firstTokenTargetMs: 20_000,
      betweenTokensTargetMs: 200,
      maxQueueMs: 20_000,
      guaranteedShare: 0.05,
      promptTokens: 1200,
      prefixTokens: 300,
      meanTokens: 300,
      load: 0.2,
      patienceMs: 120_000,
    },
  ]);
}

/** Qantara Bio Audit: farm inspections; 6 engines and 3 tablet servers. */
export function qantara(): Scenario {
  const size: DeploymentSize = {
    name: 'qantara',
    instances: 7,
    engines: 6,
    services: 3,
    failureDomains: ['ma-central-a', 'ma-central-b', 'ma-central-c'],
    callerMs: 3,
  };
  return scenarioOf(size, [
    {
      id: 'audit-draft',
      tier: 1,
      target: 'engine',
      idempotent: true,
      firstTokenTargetMs: 1500,
      betweenTokensTargetMs: 79,
      maxQueueMs: 6000,
      guaranteedShare: 0,
      promptTokens: 1500,
      prefixTokens: 500,
      meanTokens: 400,
      load: 0.25,
      patienceMs: 120_000,
    },
    {
      id: 'rule-question',
      tier: 2,
      target: 'engine',
      idempotent: true,
      firstTokenTargetMs: 410,
      betweenTokensTargetMs: 79,
      maxQueueMs: 500,
      guaranteedShare: 0.05,
      promptTokens: 300,
      prefixTokens: 200,
      meanTokens: 80,
      load: 0.2,
      patienceMs: 30_000,
    },
    {
      ...SERVICE_CALL,
      id: 'visit-sync',
      tier: 2,
      idempotent: false,
      firstTokenTargetMs: 1000,
      maxQueueMs: 1000,
      load: 150,
    },
    {
      id: 'photo-tag',
      tier: 3,
      target: 'engine',
      idempotent: true,
      firstTokenTargetMs: 3000,
      betweenTokensTargetMs: 150,
      maxQueueMs: 3000,
      guaranteedShare: 0.05,
      promptTokens: 600,
      prefixTokens: 100,
      meanTokens: 30,
      load: 0.15,
      patienceMs: 30_000,
    },
    {
      ...SERVICE_CALL,
      id: 'evidence-upload',
      tier: 4,
      idempotent: true,
      firstTokenTargetMs: 5000,
      maxQueueMs: 10_000,
      load: 250,
    },
  ]);
}

/** Tokens a second that all engines of a scenario can generate in time. */
export function engineTokensPerSecond(scenario: Scenario): number {
  const engines = scenario.servers.filter(({ models }) => models.length > 0);
  return engines.length * ENGINE_TOKENS_PER_SECOND;
}
