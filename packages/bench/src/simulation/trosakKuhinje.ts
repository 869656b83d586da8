import type { DeploymentSize } from './createScenario.js';
import { createScenario, SERVICE_CLASS_DEFAULTS } from './createScenario.js';
import type { Scenario } from './Scenario.js';

/**
 * Normal load of Trosak Kuhinje, which calculates food costs for restaurants: 8
 * engines and 3 services.
 */
export function trosakKuhinje(): Scenario {
  const size: DeploymentSize = {
    name: 'trosak',
    instances: 8,
    engines: 8,
    services: 3,
    failureDomains: ['split-a', 'split-b', 'solin'],
    callerLatencyMs: 1,
  };
  return createScenario(size, [
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
      ...SERVICE_CLASS_DEFAULTS,
      id: 'menu-price-check',
      tier: 2,
      idempotent: false,
      firstTokenTargetMs: 500,
      maxQueueMs: 500,
      load: 200,
    },
    {
      ...SERVICE_CLASS_DEFAULTS,
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
