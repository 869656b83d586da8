/** A call that carries a fencing token. */
export interface FencedCall {
  /**
   * Resource that the call acts on; tokens are compared only within one
   * subject.
   */
  readonly subject: string;
  /** Process that sent the call. */
  readonly holder: string;
  readonly token: number;
  readonly body: Readonly<Record<string, unknown>>;
}

/**
 * Accepts calls, except those whose token is lower than one already seen for
 * the subject.
 */
export class FencedCalls {
  readonly #highestTokens = new Map<string, number>();
  /** Accepted calls, oldest first. */
  readonly accepted: FencedCall[] = [];

  /**
   * @returns false, without recording the call, if a higher token was seen for
   *   the subject
   */
  accept(call: FencedCall): boolean {
    if (call.token < (this.#highestTokens.get(call.subject) ?? 0)) {
      return false;
    }
    this.#highestTokens.set(call.subject, call.token);
    this.accepted.push(call);
    return true;
  }
}
