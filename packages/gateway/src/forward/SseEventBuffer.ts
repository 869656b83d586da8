import { createParser } from 'eventsource-parser';

const EVENT_END = Buffer.from('\n\n');

/**
 * Buffers a stream of server-sent events and releases complete events only.
 *
 * If a replica stops in the middle of an event, the caller has received
 * complete events only. Another replica can then resume after the last one
 * without a gap or a duplicate.
 */
export class SseEventBuffer {
  #partial = Buffer.alloc(0);
  #lastId: string | null;
  readonly #parser = createParser({
    onEvent: ({ id }) => {
      this.#lastId = id ?? this.#lastId;
    },
  });

  /** @param lastId - last event that the caller already has; null for none */
  constructor(lastId: string | null) {
    this.#lastId = lastId;
  }

  /** Id of the last complete event that was released. */
  get lastId(): string | null {
    return this.#lastId;
  }

  /**
   * Adds bytes of the stream.
   *
   * @returns the events that are complete now; empty if there are none
   */
  push(chunk: Buffer): Buffer {
    const all = Buffer.concat([this.#partial, chunk]);
    const end = all.lastIndexOf(EVENT_END);
    const cut = end === -1 ? 0 : end + EVENT_END.length;
    const complete = all.subarray(0, cut);
    this.#partial = all.subarray(cut);
    this.#parser.feed(complete.toString('utf8'));
    return complete;
  }

  /** Discards the partial event that a replica left unfinished. */
  discardPartial(): void {
    this.#partial = Buffer.alloc(0);
    this.#parser.reset();
  }

  /**
   * Releases the bytes after the last event, once the stream has ended
   * regularly.
   *
   * @returns the remaining bytes
   */
  flush(): Buffer {
    const remaining = this.#partial;
    this.#partial = Buffer.alloc(0);
    return remaining;
  }
}
