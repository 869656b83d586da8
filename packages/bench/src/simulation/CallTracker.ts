import type { ClassResult } from '../report/ClassResult.js';
import { ClassTally } from '../report/ClassTally.js';
import type { Outcome } from '../report/ClassTally.js';
import type { CallRecord } from './CallRecord.js';
import { createCallRecord } from './CallRecord.js';
import type { Arrival } from './drawArrivals.js';
import { PromiseWatch } from './PromiseWatch.js';
import type { Scenario } from './Scenario.js';

/** The calls of one run and what became of them. */
export class CallLedger {
  readonly promises: PromiseWatch;
  readonly #calls = new Map<string, CallRecord>();
  readonly #tallies = new Map<string, ClassTally>();
  #wholeTokens = 0;

  constructor(private readonly scenario: Scenario) {
    this.promises = new PromiseWatch(scenario.classes);
    scenario.classes.forEach(rules => {
      this.#tallies.set(rules.id, new ClassTally({ ...rules, name: rules.id }));
    });
  }

  /** Engine tokens of whole answers. */
  get wholeTokens(): number {
    return this.#wholeTokens;
  }

  find(id: string): CallRecord | undefined {
    return this.#calls.get(id);
  }

  /** Opens a record for a call that arrives. */
  open(arrival: Arrival): CallRecord {
    const call = createCallRecord(arrival);
    this.#calls.set(arrival.id, call);
    return call;
  }

  /** Notes tokens that reach the caller. */
  onToken(call: CallRecord, atMs: number): void {
    call.tokens += 1;
    call.lastTokenAtMs = atMs;
    call.firstTokenAtMs ||= atMs;
  }

  /** Ends a call with its whole answer. */
  whole(call: CallRecord): void {
    const { arrival, tokens, firstTokenAtMs, lastTokenAtMs } = call;
    const gaps = Math.max(1, tokens - 1);
    this.promises.onWhole(call);
    this.#wholeTokens += arrival.stream.target === 'engine' ? tokens : 0;
    this.end(call, {
      kind: 'whole',
      tokens,
      firstTokenMs: firstTokenAtMs - arrival.atMs,
      betweenTokensMs: (lastTokenAtMs - firstTokenAtMs) / gaps,
    });
  }

  /** Ends a call, whatever came of it; later news of it is ignored. */
  end(call: CallRecord, outcome: Outcome): void {
    if (call.state === 'ended') {
      return;
    }
    call.state = 'ended';
    this.#tallies.get(call.arrival.stream.requestClass)?.add(outcome);
  }

  /** Ends what is still open and sums up. */
  close(): readonly ClassResult[] {
    [...this.#calls.values()]
      .filter(({ state }) => state === 'open')
      .forEach(call => {
        this.end(call, { kind: 'left', tokens: call.tokens });
      });
    const classes = [...this.#tallies.values()].map(tally =>
      tally.result(this.scenario.seconds),
    );
    this.promises.onEnd(classes);
    return classes;
  }
}
