import { createParser } from 'eventsource-parser';

const EVENT_END = Buffer.from('\n\n');
const LF = 10;
/** Bytes of released events that are kept until they are parsed. */
const MAX_UNPARSED_BYTES = 4096;
const NO_BYTES = Buffer.alloc(0);

/** Whether a chunk ends with an event. */
function endsEvent(chunk: Buffer): boolean {
  const { length } = chunk;
  return length > 1 && chunk[length - 1] === LF && chunk[length - 2] === LF;
}

/**
 * Buffers a stream of server-sent events and releases complete events only.
 *
 * If a replica stops in the middle of an event, the caller has received
 * complete events only. Another replica can then resume after the last one
 * without a gap or a duplicate.
 */
export class SseEventBuffer {
  #partial = NO_BYTES;
  /**
   * Released events that are not parsed yet. Few streams are ever resumed, so
   * their ids are parsed only then, or when there is much to parse.
   */
  #unparsed: Buffer[] = [];
  #unparsedBytes = 0;
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
    this.#parse();
    return this.#lastId;
  }

  /**
   * Adds bytes of the stream.
   *
   * @returns the events that are complete now; empty if there are none
   */
  push(chunk: Buffer): Buffer {
    const complete =
      this.#partial.length === 0 && endsEvent(chunk)
        ? chunk
        : this.#takeComplete(chunk);
    if (complete.length > 0) {
      this.#unparsed.push(complete);
      this.#unparsedBytes += complete.length;
      if (this.#unparsedBytes > MAX_UNPARSED_BYTES) {
        this.#parse();
      }
    }
    return complete;
  }

  /** Discards the partial event that a replica left unfinished. */
  discardPartial(): void {
    this.#parse();
    this.#partial = NO_BYTES;
    this.#parser.reset();
  }

  /**
   * Releases what follows the last complete event, such as comments, once the
   * stream has ended between two events.
   *
   * @returns the remaining bytes
   */
  flush(): Buffer {
    const remaining = this.#partial;
    this.#partial = NO_BYTES;
    return remaining;
  }

  #takeComplete(chunk: Buffer): Buffer {
    const all = Buffer.concat([this.#partial, chunk]);
    const end = all.lastIndexOf(EVENT_END);
    const cut = end === -1 ? 0 : end + EVENT_END.length;
    this.#partial = all.subarray(cut);
    return all.subarray(0, cut);
  }

  #parse(): void {
    if (this.#unparsed.length === 0) {
      return;
    }
    const events = Buffer.concat(this.#unparsed).toString('utf8');
    this.#unparsed = [];
    this.#unparsedBytes = 0;
    this.#parser.feed(events);
  }
}
