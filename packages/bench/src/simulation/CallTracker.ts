import type { ClassResult } from '../report/ClassResult.js';
import { ClassTally } from '../report/ClassTally.js';
import type { CallOutcome } from '../report/ClassTally.js';
import type { CallRecord } from './CallRecord.js';
import { createCallRecord } from './CallRecord.js';
import type { Arrival } from './drawArrivals.js';
import { GuaranteeChecker } from './GuaranteeChecker.js';
import type { Scenario } from './Scenario.js';

/** Tracks the calls of one run and their outcomes. */
export class CallTracker {
  /** Checks the guarantees of the system during the run. */
  readonly guarantees: GuaranteeChecker;
  readonly #records = new Map<string, CallRecord>();
  readonly #tallies = new Map<string, ClassTally>();
  #wholeTokens = 0;

  constructor(private readonly scenario: Scenario) {
    this.guarantees = new GuaranteeChecker(scenario.classes);
    scenario.classes.forEach(rules => {
      this.#tallies.set(rules.id, new ClassTally({ ...rules, name: rules.id }));
    });
  }

  /** Number of engine tokens in complete answers. */
  get completedTokens(): number {
    return this.#wholeTokens;
  }

  /** @returns the record of a call, or undefined if the id is unknown */
  find(id: string): CallRecord | undefined {
    return this.#records.get(id);
  }

  /** Creates the record of a new call. */
  open(arrival: Arrival): CallRecord {
    const call = createCallRecord(arrival);
    this.#records.set(arrival.id, call);
    return call;
  }

  /** Counts a token that reaches the caller at a time. */
  onToken(call: CallRecord, atMs: number): void {
    call.tokens += 1;
    call.lastTokenAtMs = atMs;
    call.firstTokenAtMs ||= atMs;
  }

  /** Ends a call whose answer is complete. */
  whole(call: CallRecord): void {
    const { arrival, tokens, firstTokenAtMs, lastTokenAtMs } = call;
    const gaps = Math.max(1, tokens - 1);
    this.guarantees.onCompleted(call);
    this.#wholeTokens += arrival.stream.target === 'engine' ? tokens : 0;
    this.end(call, {
      kind: 'whole',
      tokens,
      firstTokenMs: firstTokenAtMs - arrival.atMs,
      betweenTokensMs: (lastTokenAtMs - firstTokenAtMs) / gaps,
    });
  }

  /** Ends a call with an outcome; does nothing if the call already ended. */
  end(call: CallRecord, outcome: CallOutcome): void {
    if (call.state === 'ended') {
      return;
    }
    call.state = 'ended';
    this.#tallies.get(call.arrival.stream.requestClass)?.add(outcome);
  }

  /**
   * Ends the open calls as left by their callers, and checks for starvation.
   *
   * @returns results by request class
   */
  close(): readonly ClassResult[] {
    [...this.#records.values()]
      .filter(({ state }) => state === 'open')
      .forEach(call => {
        this.end(call, { kind: 'left', tokens: call.tokens });
      });
    const classes = [...this.#tallies.values()].map(tally =>
      tally.result(this.scenario.seconds),
    );
    this.guarantees.checkStarvation(classes);
    return classes;
  }
}
