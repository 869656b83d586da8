/** A call that bears a fencing token. */
export interface FencedCall {
  /** What it is about; tokens of different subjects have nothing to do with each other. */
  readonly subject: string;
  readonly holder: string;
  readonly token: number;
  readonly body: Readonly<Record<string, unknown>>;
}

/** Takes calls that bear no lower token than was seen for their subject. */
export class FencedCalls {
  readonly #tokens = new Map<string, number>();
  /** What was carried out, in order. */
  readonly accepted: FencedCall[] = [];

  /** @returns false where a higher token was seen, and nothing is done */
  take(call: FencedCall): boolean {
    if (call.token < (this.#tokens.get(call.subject) ?? 0)) {
      return false;
    }
    this.#tokens.set(call.subject, call.token);
    this.accepted.push(call);
    return true;
  }
}
