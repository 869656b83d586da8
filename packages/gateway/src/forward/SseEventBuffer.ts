import { createParser } from 'eventsource-parser';

import type { BufferBudget } from '../responses/BufferBudget.js';
import { GrowingBuffer } from '../responses/GrowingBuffer.js';
import { InvalidResponseError } from '../responses/InvalidResponseError.js';
import { SseBoundary } from './SseBoundary.js';

const LF = '\n';
const CR = '\r';
const LINE_END_PATTERN = /\r\n?/g;
/** Bytes of released events that are kept until they are parsed. */
const MAX_UNPARSED_BYTES = 4096;
/** Limit for the size of one event. */
const MAX_EVENT_BYTES = 1024 * 1024;
const NO_BYTES = Buffer.alloc(0);

/**
 * Buffers a stream of server-sent events and releases complete events only.
 *
 * If a replica stops in the middle of an event, the caller has received
 * complete events only. Another replica can then resume after the last one
 * without a gap or a duplicate.
 */
export class SseEventBuffer {
  readonly #partial: GrowingBuffer;
  #boundary = new SseBoundary();
  /**
   * Released events that are not parsed yet. Few streams are ever resumed, so
   * their ids are parsed only then, or when there is much to parse.
   */
  #unparsed: Buffer[] = [];
  #unparsedBytes = 0;
  /** Whether the parsed text ended with CR, so that LF may still belong to its last line. */
  #parsedCr = false;
  #lastId: string | null;
  /** Whether the last released event has an id; true before the first. */
  #isLastNamed = true;
  readonly #parser = createParser({
    onEvent: ({ id }) => {
      this.#isLastNamed = id !== undefined;
      this.#lastId = id ?? this.#lastId;
    },
  });

  /**
   * @param lastId - last event that the caller already has; null for none
   * @param budget - memory for incomplete events
   */
  constructor(lastId: string | null, budget: BufferBudget) {
    this.#lastId = lastId;
    this.#partial = new GrowingBuffer(budget);
  }

  /** Whether an event has begun and not ended. */
  get isInsideEvent(): boolean {
    return this.#boundary.isInsideEvent;
  }

  /** Id of the last complete event that was released. */
  get lastId(): string | null {
    this.#parse();
    return this.#lastId;
  }

  /**
   * Whether another replica can continue after the released events. It would repeat those
   * that follow the last one with an id.
   */
  get isContinuable(): boolean {
    this.#parse();
    return this.#isLastNamed;
  }

  /**
   * Adds bytes of the stream.
   *
   * @returns the events that are complete now; empty if there are none
   * @throws InvalidResponseError if an event is too large to be kept
   */
  push(chunk: Buffer): Buffer {
    const end = this.#boundary.push(chunk);
    const complete = end === 0 ? NO_BYTES : this.#completeWith(chunk, end);
    this.#keep(chunk.subarray(end));
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
    this.#partial.take();
    this.#boundary = new SseBoundary();
    this.#parser.reset();
  }

  /**
   * Releases what follows the last complete event, such as comments, once the
   * stream has ended between two events.
   *
   * @returns the remaining bytes
   */
  flush(): Buffer {
    return this.#partial.take();
  }

  /** Returns the partial event with the bytes of a chunk up to the end of its last event. */
  #completeWith(chunk: Buffer, end: number): Buffer {
    const rest = chunk.subarray(0, end);
    return this.#partial.length === 0
      ? rest
      : Buffer.concat([this.#partial.take(), rest]);
  }

  #keep(bytes: Buffer): void {
    if (bytes.length === 0) {
      return;
    }
    const isKept =
      this.#partial.length + bytes.length <= MAX_EVENT_BYTES &&
      this.#partial.append(bytes);
    if (!isKept) {
      throw new InvalidResponseError('eventSize', 'event is too large');
    }
  }

  /**
   * Parses the released events. The parser does not take CR at the end of its input for the
   * end of a line, since LF may follow.
   */
  #parse(): void {
    if (this.#unparsed.length === 0) {
      return;
    }
    const text = Buffer.concat(this.#unparsed).toString('utf8');
    this.#unparsed = [];
    this.#unparsedBytes = 0;
    const events =
      this.#parsedCr && text.startsWith(LF) ? text.slice(LF.length) : text;
    this.#parsedCr = text.endsWith(CR);
    this.#parser.feed(events.replace(LINE_END_PATTERN, LF));
  }
}
