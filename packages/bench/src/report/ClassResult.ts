/** How one request class fared. */
export interface ClassResult {
  readonly name: string;
  readonly tier: number;
  readonly sent: number;
  readonly whole: number;
  readonly refused: number;
  /** Callers that went away of their own accord, in the middle or before. */
  readonly withdrawn: number;
  /** Share of sent and not withdrawn requests answered whole within both targets. */
  readonly attainment: number;
  /** Whole answers whose first token came late. */
  readonly lateFirst: number;
  /** Whole answers whose tokens came too slowly. */
  readonly slowBetween: number;
  /** Tokens a second of answers that met their targets. */
  readonly goodput: number;
  /** Tokens that reached callers of answers that never became whole. */
  readonly wastedTokens: number;
  /** Longest time to first token of a whole answer. */
  readonly maxWaitMs: number;
}
