import { createHash } from 'node:crypto';
import type { Deployment, LoadSettings } from '@jujubecroft/settings';

/** Base URLs of the backend servers that the demo deployment declares. */
export interface DemoServers {
  readonly engines: readonly string[];
  readonly services: readonly string[];
}

const MODEL = 'chef-small';
const SERVICE = 'stock';
const ENGINE_CAPACITY = 24;
const SERVICE_CAPACITY = 16;
const FAILURE_DOMAINS = ['split-a', 'split-b', 'solin'] as const;

/** Caller key of an organisation. */
export const keyOf = (organisation: string): string => `key-of-${organisation}`;

/**
 * Hexadecimal SHA-256, the form in which settings and declarations hold
 * secrets.
 */
export const sha256 = (text: string): string =>
  createHash('sha256').update(text).digest('hex');

/** Assigns failure domains round-robin. */
const failureDomainOf = (index: number): string =>
  FAILURE_DOMAINS[index % FAILURE_DOMAINS.length] ?? FAILURE_DOMAINS[0];

const declareOrganisation = (id: string, weight: number) => ({
  id,
  keySha256: sha256(keyOf(id)),
  weight,
  limits: { requestsPerSecond: 200, tokensPerSecond: 50_000 },
});

/**
 * Deployment of the demo: three organisations, and one request class in each of
 * four tiers.
 */
export function demoDeployment(servers: DemoServers): Deployment {
  return {
    kind: 'deployment',
    organisations: [
      declareOrganisation('konoba-mir', 1),
      declareOrganisation('hotel-riva', 2),
      declareOrganisation('pekara-zora', 1),
    ],
    modelVersions: [{ id: MODEL, version: '1' }],
    requestClasses: [
      {
        id: 'recipe-costing',
        tier: 1,
        idempotent: true,
        firstTokenTargetMs: 410,
        betweenTokensTargetMs: 79,
        maxQueueMs: 4000,
        guaranteedShare: 0,
        maxOutputTokens: 400,
      },
      {
        id: 'menu-price-check',
        tier: 2,
        idempotent: false,
        firstTokenTargetMs: 1000,
        betweenTokensTargetMs: 1000,
        maxQueueMs: 2000,
        guaranteedShare: 0.02,
        maxOutputTokens: 1,
      },
      {
        id: 'supplier-lookup',
        tier: 3,
        idempotent: true,
        firstTokenTargetMs: 1500,
        betweenTokensTargetMs: 120,
        maxQueueMs: 3000,
        guaranteedShare: 0.02,
        maxOutputTokens: 400,
      },
      {
        id: 'invoice-reconciliation',
        tier: 4,
        idempotent: true,
        firstTokenTargetMs: 8000,
        betweenTokensTargetMs: 200,
        maxQueueMs: 10_000,
        guaranteedShare: 0.05,
        maxOutputTokens: 400,
      },
    ],
    backendServers: [
      ...servers.engines.map((url, index) => ({
        id: `engine-${index + 1}`,
        url,
        failureDomain: failureDomainOf(index),
        models: [MODEL],
        services: [],
        capacity: ENGINE_CAPACITY,
        checksFencing: true,
        leaving: false,
      })),
      ...servers.services.map((url, index) => ({
        id: `stock-${index + 1}`,
        url,
        failureDomain: failureDomainOf(index),
        models: [],
        services: [SERVICE],
        capacity: SERVICE_CAPACITY,
        checksFencing: false,
        leaving: false,
      })),
    ],
  };
}

/**
 * Load of the demo: requests of all classes, and a burst of supplier lookups
 * during the second quarter.
 *
 * @param entryUrls - base URLs of the instances
 * @param seconds - length of the load
 * @param seed - seed of the random arrivals
 * @returns settings for the load generator
 */
export function demoLoad(
  entryUrls: readonly string[],
  seconds: number,
  seed: number,
): LoadSettings {
  const base = { promptTokens: 60, maxTokens: 120, patienceMs: 20_000 };
  const stream = (
    organisationId: string,
    requestClass: string,
    requestsPerSecond: number,
  ) => ({
    ...base,
    organisation: organisationId,
    key: keyOf(organisationId),
    requestClass,
    target: { model: MODEL },
    requestsPerSecond,
  });
  const burst = { startSeconds: seconds / 4, seconds: seconds / 4, factor: 8 };
  return {
    kind: 'load',
    entryUrls: [...entryUrls],
    seconds,
    seed,
    streams: [
      stream('konoba-mir', 'recipe-costing', 5),
      { ...stream('hotel-riva', 'supplier-lookup', 6), burst },
      stream('pekara-zora', 'supplier-lookup', 3),
      stream('hotel-riva', 'invoice-reconciliation', 4),
      {
        ...stream('konoba-mir', 'menu-price-check', 8),
        target: { service: SERVICE },
      },
    ],
  };
}
