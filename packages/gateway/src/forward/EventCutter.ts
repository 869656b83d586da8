import { createParser } from 'eventsource-parser';

const EVENT_END = Buffer.from('\n\n');

/**
 * Cuts a stream of events at their ends.
 *
 * Guards against a replica that stops in the middle of an event: the caller
 * gets whole events only, so that another replica can go on after the last one
 * without a gap or a repeat.
 */
export class EventCutter {
  #rest = Buffer.alloc(0);
  #lastId: string | null;
  readonly #parser = createParser({
    onEvent: ({ id }) => {
      this.#lastId = id ?? this.#lastId;
    },
  });

  /** @param lastId - last event that the caller has already; null for none */
  constructor(lastId: string | null) {
    this.#lastId = lastId;
  }

  /** Id of the last whole event that was handed out. */
  get lastId(): string | null {
    return this.#lastId;
  }

  /** Takes bytes and returns the whole events among all that came. */
  push(chunk: Buffer): Buffer {
    const all = Buffer.concat([this.#rest, chunk]);
    const end = all.lastIndexOf(EVENT_END);
    const cut = end === -1 ? 0 : end + EVENT_END.length;
    const whole = all.subarray(0, cut);
    this.#rest = all.subarray(cut);
    this.#parser.feed(whole.toString('utf8'));
    return whole;
  }

  /** Forgets the part of an event that a replica left unfinished. */
  startOver(): void {
    this.#rest = Buffer.alloc(0);
    this.#parser.reset();
  }

  /** What is left at the regular end of a stream. */
  takeRest(): Buffer {
    const rest = this.#rest;
    this.#rest = Buffer.alloc(0);
    return rest;
  }
}
