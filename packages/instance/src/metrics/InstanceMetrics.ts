import { Counter, Gauge, Histogram, Registry } from 'prom-client';
import type { DecisionEvent } from '@jujubecroft/types';

const MS_PER_SECOND = 1000;
const FIRST_TOKEN_BUCKETS_SECONDS = [
  0.05, 0.1, 0.2, 0.41, 0.8, 1.6, 3.2, 6.4, 12.8, 30,
];

/**
 * Prometheus metrics of one instance, derived mainly from its decision events.
 */
export class InstanceMetrics {
  readonly registry = new Registry();
  readonly #decisions = new Counter({
    name: 'jujubecroft_decisions_total',
    help: 'Decisions by kind and request class.',
    labelNames: ['kind', 'class'] as const,
    registers: [this.registry],
  });
  readonly #shed = new Counter({
    name: 'jujubecroft_shed_total',
    help: 'Refused requests by result code and request class.',
    labelNames: ['code', 'class'] as const,
    registers: [this.registry],
  });
  readonly #tokens = new Counter({
    name: 'jujubecroft_tokens_total',
    help: 'Tokens of whole answers by request class.',
    labelNames: ['class'] as const,
    registers: [this.registry],
  });
  readonly #firstToken = new Histogram({
    name: 'jujubecroft_first_token_seconds',
    help: 'Time from arrival to first token by request class.',
    labelNames: ['class'] as const,
    buckets: FIRST_TOKEN_BUCKETS_SECONDS,
    registers: [this.registry],
  });
  readonly revision = new Gauge({
    name: 'jujubecroft_configuration_revision',
    help: 'Revision of the configuration in force.',
    registers: [this.registry],
  });
  readonly inFlight = new Gauge({
    name: 'jujubecroft_requests_in_flight',
    help: 'Accepted requests that have not ended.',
    registers: [this.registry],
  });
  readonly members = new Gauge({
    name: 'jujubecroft_members',
    help: 'Other instances by state.',
    labelNames: ['state'] as const,
    registers: [this.registry],
  });

  /** Updates the counters and histograms with one decision event. */
  observe(event: DecisionEvent): void {
    const { decision, requestClass } = event;
    this.#decisions.inc({ kind: decision.kind, class: requestClass });
    if (decision.kind === 'shed') {
      this.#shed.inc({ code: decision.code, class: requestClass });
    }
    if (decision.kind === 'finished') {
      this.#tokens.inc({ class: requestClass }, decision.tokens);
      this.#firstToken.observe(
        { class: requestClass },
        decision.firstTokenMs / MS_PER_SECOND,
      );
    }
  }
}
