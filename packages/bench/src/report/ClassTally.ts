import type { ClassResult } from './ClassResult.js';

/** Outcome of one request, as observed by its caller. */
export type CallOutcome =
  | { readonly kind: 'broken'; readonly tokens: number }
  | { readonly kind: 'left'; readonly tokens: number }
  | { readonly kind: 'refused'; readonly tokens: number }
  /**
   * The caller disconnected by choice. No policy could have met the targets, so
   * the request does not count towards attainment.
   */
  | { readonly kind: 'withdrawn'; readonly tokens: number }
  | {
      readonly kind: 'whole';
      readonly tokens: number;
      readonly firstTokenMs: number;
      /** Mean time between tokens; 0 if there are fewer than two tokens. */
      readonly betweenTokensMs: number;
    };

/** Tier and latency targets of a request class. */
export interface ClassTargets {
  readonly name: string;
  readonly tier: number;
  readonly firstTokenTargetMs: number;
  readonly betweenTokensTargetMs: number;
}

/** Accumulates the outcomes of the requests of one class. */
export class ClassTally {
  #sent = 0;
  #withdrawn = 0;
  #whole = 0;
  #refused = 0;
  #withinTargets = 0;
  #lateFirst = 0;
  #slowBetween = 0;
  #tokensWithinTargets = 0;
  #wastedTokens = 0;
  #maxWaitMs = 0;

  constructor(private readonly targets: ClassTargets) {}

  /** Counts one outcome. */
  add(outcome: CallOutcome): void {
    this.#sent += 1;
    if (outcome.kind !== 'whole') {
      this.#refused += outcome.kind === 'refused' ? 1 : 0;
      this.#withdrawn += outcome.kind === 'withdrawn' ? 1 : 0;
      this.#wastedTokens += outcome.tokens;
      return;
    }
    this.#whole += 1;
    this.#maxWaitMs = Math.max(this.#maxWaitMs, outcome.firstTokenMs);
    const late = outcome.firstTokenMs > this.targets.firstTokenTargetMs;
    const slow = outcome.betweenTokensMs > this.targets.betweenTokensTargetMs;
    this.#lateFirst += late ? 1 : 0;
    this.#slowBetween += slow ? 1 : 0;
    if (!late && !slow) {
      this.#withinTargets += 1;
      this.#tokensWithinTargets += outcome.tokens;
    }
  }

  /**
   * Returns the totals so far.
   *
   * @param seconds - length of the load, for the goodput
   */
  result(seconds: number): ClassResult {
    const { name, tier } = this.targets;
    const counted = this.#sent - this.#withdrawn;
    return {
      name,
      tier,
      sent: this.#sent,
      whole: this.#whole,
      refused: this.#refused,
      withdrawn: this.#withdrawn,
      attainment: counted === 0 ? 1 : this.#withinTargets / counted,
      lateFirst: this.#lateFirst,
      slowBetween: this.#slowBetween,
      goodput: this.#tokensWithinTargets / seconds,
      wastedTokens: this.#wastedTokens,
      maxWaitMs: this.#maxWaitMs,
    };
  }
}
