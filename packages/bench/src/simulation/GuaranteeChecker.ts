import type {
  DecisionEvent,
  RequestClass,
  ResultCodeId,
} from '@jujubecroft/types';

import type { CallRecord } from './CallRecord.js';

const SHED_FOR_LOAD: ReadonlySet<ResultCodeId> = new Set([
  'queueWaitExceeded',
  'targetUnreachable',
]);

interface LowerDispatch {
  readonly atMs: number;
  readonly requestClass: string;
}

/** Watches one run for broken promises. */
export class PromiseWatch {
  readonly broken: string[] = [];
  readonly #rules: ReadonlyMap<string, RequestClass>;
  /** Last dispatch that was not owed to a guaranteed share, by instance and tier. */
  readonly #lastLower = new Map<string, LowerDispatch>();

  constructor(classes: readonly RequestClass[]) {
    this.#rules = new Map(classes.map(rules => [rules.id, rules]));
  }

  onDecision(event: DecisionEvent, call: CallRecord | undefined): void {
    const { decision } = event;
    if (
      decision.kind === 'routed' &&
      call?.arrival.stream.target === 'engine'
    ) {
      this.#onRouted(event, decision.guaranteed);
    }
    if (decision.kind === 'shed' && call) {
      this.#onShed(event, decision.code, call);
    }
  }

  onWhole(call: CallRecord): void {
    const { arrival, tokens } = call;
    const wanted =
      arrival.stream.target === 'engine' ? arrival.outputTokens : 1;
    if (tokens !== wanted) {
      this.broken.push(`${arrival.id}: ${tokens} of ${wanted} tokens`);
    }
  }

  onNotRun(call: CallRecord): void {
    if (call.runs > 0) {
      this.broken.push(`${call.arrival.id}: told "not run" but ran`);
    }
  }

  onServiceStart(call: CallRecord): void {
    call.runs += 1;
    const rules = this.#rules.get(call.arrival.stream.requestClass);
    if (rules && !rules.idempotent && call.runs > 1) {
      this.broken.push(`${call.arrival.id}: non-idempotent but ran twice`);
    }
  }

  /** A class with calls but no whole answer starved. */
  onEnd(
    counts: readonly { name: string; sent: number; whole: number }[],
  ): void {
    counts
      .filter(({ sent, whole }) => sent > 0 && whole === 0)
      .forEach(({ name }) => {
        this.broken.push(`${name}: starved`);
      });
  }

  #onRouted(event: DecisionEvent, guaranteed: boolean): void {
    const tier = this.#rules.get(event.requestClass)?.tier ?? 1;
    if (tier > 1 && !guaranteed) {
      this.#lastLower.set(event.instance, {
        atMs: event.atMs,
        requestClass: event.requestClass,
      });
    }
  }

  /** Tier 1 was shed although lower work of the same pool went out meanwhile. */
  #onShed(event: DecisionEvent, code: ResultCodeId, call: CallRecord): void {
    const tier = this.#rules.get(event.requestClass)?.tier;
    const isEngine = call.arrival.stream.target === 'engine';
    if (tier !== 1 || !isEngine || !SHED_FOR_LOAD.has(code)) {
      return;
    }
    const lower = this.#lastLower.get(event.instance);
    if (lower && lower.atMs >= call.arrival.atMs) {
      this.broken.push(
        `${event.request}: tier 1 shed while ${lower.requestClass} was served`,
      );
    }
  }
}
