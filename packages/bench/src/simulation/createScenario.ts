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
export interface DeploymentSize {
  readonly name: string;
  readonly instances: number;
  readonly engines: number;
  readonly services: number;
  readonly failureDomains: readonly string[];
  readonly callerMs: number;
}

/** What a class is, and its share of the engine capacity in ordinary load. */
export interface ClassSpec {
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

/**
 * Makes the scenario of a deployment in ordinary load.
 *
 * @param size - of the deployment
 * @param specs - its classes of requests
 */
export function scenarioOf(
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
export const SERVICE_CALL = {
  target: 'service' as const,
  betweenTokensTargetMs: 1000,
  guaranteedShare: 0.05,
  promptTokens: 0,
  prefixTokens: 0,
  meanTokens: 1,
  patienceMs: 20_000,
};

/** Tokens a second that all engines of a scenario can generate in time. */
export function engineTokensPerSecond(scenario: Scenario): number {
  const engines = scenario.servers.filter(({ models }) => models.length > 0);
  return engines.length * ENGINE_TOKENS_PER_SECOND;
}
