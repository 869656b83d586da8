/** Results of one request class. */
export interface ClassResult {
  readonly name: string;
  readonly tier: number;
  /** Requests sent. */
  readonly sent: number;
  /** Requests answered completely. */
  readonly whole: number;
  readonly refused: number;
  /**
   * Requests whose caller disconnected by choice, before or during the answer.
   */
  readonly withdrawn: number;
  /**
   * Share of the requests, without the withdrawn ones, answered completely
   * within both latency targets.
   */
  readonly attainment: number;
  /** Complete answers that missed the target for the first token. */
  readonly lateFirst: number;
  /** Complete answers that missed the target for the time between tokens. */
  readonly slowBetween: number;
  /** Tokens per second of complete answers that met both targets. */
  readonly goodput: number;
  /** Tokens delivered as part of answers that were not completed. */
  readonly wastedTokens: number;
  /** Longest time to the first token among the complete answers. */
  readonly maxWaitMs: number;
}
