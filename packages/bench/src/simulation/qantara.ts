import type { DeploymentSize } from './createScenario.js';
import { createScenario, SERVICE_CLASS_DEFAULTS } from './createScenario.js';
import type { Scenario } from './Scenario.js';

/**
 * Normal load of Qantara Bio Audit, which runs farm inspections: 6 engines and
 * 3 services.
 */
export function qantara(): Scenario {
  const size: DeploymentSize = {
    name: 'qantara',
    instances: 7,
    engines: 6,
    services: 3,
    failureDomains: ['ma-central-a', 'ma-central-b', 'ma-central-c'],
    callerLatencyMs: 3,
  };
  return createScenario(size, [
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
      ...SERVICE_CLASS_DEFAULTS,
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
      ...SERVICE_CLASS_DEFAULTS,
      id: 'evidence-upload',
      tier: 4,
      idempotent: true,
      firstTokenTargetMs: 5000,
      maxQueueMs: 10_000,
      load: 250,
    },
  ]);
}
