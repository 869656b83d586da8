import type { ClassResult } from './ClassResult.js';

/** How one request ended, as its caller saw it. */
export type Outcome =
  | { readonly kind: 'broken'; readonly tokens: number }
  | { readonly kind: 'left'; readonly tokens: number }
  | { readonly kind: 'refused'; readonly tokens: number }
  /** The caller went away of its own accord; no policy could have met it. */
  | { readonly kind: 'withdrawn'; readonly tokens: number }
  | {
      readonly kind: 'whole';
      readonly tokens: number;
      readonly firstTokenMs: number;
      /** Mean time between tokens; 0 for fewer than two. */
      readonly betweenTokensMs: number;
    };

/** What a class promises its callers. */
export interface ClassTargets {
  readonly name: string;
  readonly tier: number;
  readonly firstTokenTargetMs: number;
  readonly betweenTokensTargetMs: number;
}

/** Adds up the outcomes of one class. */
export class ClassTally {
  #sent = 0;
  #withdrawn = 0;
  #whole = 0;
  #refused = 0;
  #met = 0;
  #lateFirst = 0;
  #slowBetween = 0;
  #goodTokens = 0;
  #wastedTokens = 0;
  #maxWaitMs = 0;

  constructor(private readonly targets: ClassTargets) {}

  add(outcome: Outcome): void {
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
      this.#met += 1;
      this.#goodTokens += outcome.tokens;
    }
  }

  result(seconds: number): ClassResult {
    const { name, tier } = this.targets;
    const judged = this.#sent - this.#withdrawn;
    return {
      name,
      tier,
      sent: this.#sent,
      whole: this.#whole,
      refused: this.#refused,
      withdrawn: this.#withdrawn,
      attainment: judged === 0 ? 1 : this.#met / judged,
      lateFirst: this.#lateFirst,
      slowBetween: this.#slowBetween,
      goodput: this.#goodTokens / seconds,
      wastedTokens: this.#wastedTokens,
      maxWaitMs: this.#maxWaitMs,
    };
  }
}
