/** How one request class fared. */
export interface ClassResult {
  readonly name: string;
  readonly tier: number;
  readonly sent: number;
  readonly whole: number;
  readonly refused: number;
  /** Share of sent requests answered whole and within both targets. */
  readonly attainment: number;
  /** Tokens a second of answers that met their targets. */
  readonly goodput: number;
  /** Tokens that reached callers of answers that never became whole. */
  readonly wastedTokens: number;
  /** Longest time to first token of a whole answer. */
  readonly maxWaitMs: number;
}
