import type {
  DecisionEvent,
  RequestClass,
  ResultCodeId,
} from '@jujubecroft/types';

import type { CallRecord } from './CallRecord.js';

/** Result codes with which a request is shed because of overload. */
const OVERLOAD_CODES: ReadonlySet<ResultCodeId> = new Set([
  'queueWaitExceeded',
  'targetUnreachable',
]);

interface LowerTierDispatch {
  readonly atMs: number;
  readonly requestClass: string;
}

/** Checks that the router keeps its guarantees during one run. */
export class GuaranteeChecker {
  /** Violations found so far, one line each. */
  readonly broken: string[] = [];
  readonly #classes: ReadonlyMap<string, RequestClass>;
  /**
   * Last dispatch below tier 1 to an engine outside a guaranteed share, by
   * instance.
   */
  readonly #lastLowerDispatch = new Map<string, LowerTierDispatch>();

  constructor(classes: readonly RequestClass[]) {
    this.#classes = new Map(classes.map(rules => [rules.id, rules]));
  }

  /** Checks a decision of a router. */
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

  /** Checks that a complete answer has all its tokens. */
  onCompleted(call: CallRecord): void {
    const { arrival, tokens } = call;
    const expectedTokens =
      arrival.stream.target === 'engine' ? arrival.outputTokens : 1;
    if (tokens !== expectedTokens) {
      this.broken.push(`${arrival.id}: ${tokens} of ${expectedTokens} tokens`);
    }
  }

  /** Checks that a call refused as not run was never started on a service. */
  onNotRun(call: CallRecord): void {
    if (call.runs > 0) {
      this.broken.push(`${call.arrival.id}: told "not run" but ran`);
    }
  }

  /**
   * Counts a start on a service, and checks that a non-idempotent call starts
   * once.
   */
  onServiceStart(call: CallRecord): void {
    call.runs += 1;
    const rules = this.#classes.get(call.arrival.stream.requestClass);
    if (rules && !rules.idempotent && call.runs > 1) {
      this.broken.push(`${call.arrival.id}: non-idempotent but ran twice`);
    }
  }

  /** Checks that each class with calls got at least one complete answer. */
  checkStarvation(
    counts: readonly { name: string; sent: number; whole: number }[],
  ): void {
    counts
      .filter(({ sent, whole }) => sent > 0 && whole === 0)
      .forEach(({ name }) => {
        this.broken.push(`${name}: starved`);
      });
  }

  #onRouted(event: DecisionEvent, guaranteed: boolean): void {
    const tier = this.#classes.get(event.requestClass)?.tier ?? 1;
    if (tier > 1 && !guaranteed) {
      this.#lastLowerDispatch.set(event.instance, {
        atMs: event.atMs,
        requestClass: event.requestClass,
      });
    }
  }

  /**
   * Checks that an engine request of tier 1 is not shed for overload if the
   * same instance dispatched a lower tier since the request arrived.
   */
  #onShed(event: DecisionEvent, code: ResultCodeId, call: CallRecord): void {
    const tier = this.#classes.get(event.requestClass)?.tier;
    const isEngine = call.arrival.stream.target === 'engine';
    if (tier !== 1 || !isEngine || !OVERLOAD_CODES.has(code)) {
      return;
    }
    const lowerDispatch = this.#lastLowerDispatch.get(event.instance);
    if (lowerDispatch && lowerDispatch.atMs >= call.arrival.atMs) {
      this.broken.push(
        `${event.request}: tier 1 shed while ${lowerDispatch.requestClass} was served`,
      );
    }
  }
}
