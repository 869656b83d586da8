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

/**
 * Number of servers of each kind in a deployment, and the latency to its
 * callers.
 */
export interface DeploymentSize {
  readonly name: string;
  readonly instances: number;
  readonly engines: number;
  readonly services: number;
  readonly failureDomains: readonly string[];
  /** One-way latency between callers and instances. */
  readonly callerLatencyMs: number;
}

/** Properties of a request class and its normal load. */
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
  /** Mean length of an answer. */
  readonly meanTokens: number;
  /**
   * Normal load: for engines a share of the token capacity, for services calls
   * per second.
   */
  readonly load: number;
  /** Time after which the caller disconnects if the answer is not complete. */
  readonly patienceMs: number;
}

const ENGINE_CONCURRENCY = 85;
const SERVICE_CONCURRENCY = 16;
const SERVICE_MEAN_MS = 20;
const ORGANISATION_COUNT = 10;
const LARGE_ORGANISATION_COUNT = 3;
/** Share of all calls that the large organisations send together. */
const LARGE_SHARE = 0.6;
const LOAD_SECONDS = 60;
const REPORT_LAG_MS = 500;
const PREFIXES_PER_STREAM = 12;
const EARLY_LEAVE_SHARE = 0.01;
/** Callers wait for the first token for this multiple of its target. */
const FIRST_TOKEN_TIMEOUT_FACTOR = 6;
const MIN_FIRST_TOKEN_TIMEOUT_MS = 3000;
const UNLIMITED_RATE = 1e9;

/**
 * Token rate of one engine with the largest batch that meets the between-tokens
 * target.
 */
export const ENGINE_TOKENS_PER_SECOND = 1050;

function organisations(): readonly Organisation[] {
  return Array.from({ length: ORGANISATION_COUNT }, (_, index) => ({
    kind: 'organisation',
    id: brand<OrganisationId>(`org-${index + 1}`),
    keySha256: createHash('sha256').update(`${index}`).digest('hex'),
    weight: 1,
    limits: {
      requestsPerSecond: UNLIMITED_RATE,
      tokensPerSecond: UNLIMITED_RATE,
    },
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
    capacity: ENGINE_CONCURRENCY,
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

function requestClassOf(spec: ClassSpec): RequestClass {
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
  return Array.from({ length: ORGANISATION_COUNT }, (_, index) => {
    const isLarge = index < LARGE_ORGANISATION_COUNT;
    const share = isLarge
      ? LARGE_SHARE / LARGE_ORGANISATION_COUNT
      : (1 - LARGE_SHARE) / (ORGANISATION_COUNT - LARGE_ORGANISATION_COUNT);
    return {
      requestClass: spec.id,
      organisation: `org-${index + 1}`,
      target: spec.target,
      requestsPerSecond: perSecond * share,
      promptTokens: spec.promptTokens,
      prefixTokens: spec.prefixTokens,
      prefixCount: PREFIXES_PER_STREAM,
      meanTokens: spec.meanTokens,
      lengthShape: 1,
      firstTokenTimeoutMs: Math.max(
        MIN_FIRST_TOKEN_TIMEOUT_MS,
        spec.firstTokenTargetMs * FIRST_TOKEN_TIMEOUT_FACTOR,
      ),
      patienceMs: spec.patienceMs,
      earlyLeaveShare: spec.target === 'engine' ? EARLY_LEAVE_SHARE : 0,
    };
  });
}

/**
 * Creates the scenario of a deployment under normal load, without faults.
 *
 * @param size - size of the deployment
 * @param specs - request classes of the deployment
 * @returns the scenario
 */
export function createScenario(
  size: DeploymentSize,
  specs: readonly ClassSpec[],
): Scenario {
  return {
    name: size.name,
    seconds: LOAD_SECONDS,
    instances: size.instances,
    failureDomains: size.failureDomains,
    organisations: organisations(),
    classes: specs.map(requestClassOf),
    servers: servers(size),
    engineModel: engineModelSchema.parse({}),
    serviceConcurrency: SERVICE_CONCURRENCY,
    serviceMeanMs: SERVICE_MEAN_MS,
    backendLatencyMs: 1,
    callerLatencyMs: size.callerLatencyMs,
    reportLagMs: REPORT_LAG_MS,
    streams: specs.flatMap(spec => streamsOf(spec, size.engines)),
    faults: [],
  };
}

/** Properties that all plain-service classes have in common. */
export const SERVICE_CLASS_DEFAULTS = {
  target: 'service' as const,
  betweenTokensTargetMs: 1000,
  guaranteedShare: 0.05,
  promptTokens: 0,
  prefixTokens: 0,
  meanTokens: 1,
  patienceMs: 20_000,
};

/**
 * Token rate at which all engines of a scenario together can meet the
 * between-tokens target.
 */
export function engineTokensPerSecond(scenario: Scenario): number {
  const engines = scenario.servers.filter(({ models }) => models.length > 0);
  return engines.length * ENGINE_TOKENS_PER_SECOND;
}
