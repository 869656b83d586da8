import type { AttemptResult, ReportedLoad } from '@jujubecroft/decisions';
import type { BodyFraming, RequestId, RouteKind } from '@jujubecroft/types';
import { bodyFraming } from '@jujubecroft/types';

import type {
  ResponseHead,
  CallerDialect,
  RawHeaders,
} from '../ports/CallerDialect.js';
import type { CallerResponse, CompleteResponse } from './CallerResponse.js';
import { SseBoundary } from './SseBoundary.js';
import type { SseEventBuffer } from './SseEventBuffer.js';
import type { BufferBudget } from '../responses/BufferBudget.js';
import { GrowingBuffer } from '../responses/GrowingBuffer.js';
import { InvalidResponseError } from '../responses/InvalidResponseError.js';
import { validateHead } from '../responses/validateHead.js';
import { headerValue } from '../util/headers.js';

const EVENT_STREAM_TYPE = 'text/event-stream';
const MIN_ERROR_STATUS = 400;
const MIN_SERVER_ERROR_STATUS = 500;
/** Responses up to this size are buffered until they are complete. */
const MAX_BUFFERED_BYTES = 1024 * 1024;

/** Whether a response states that it is a stream of server-sent events. */
function isEventStream(headers: RawHeaders): boolean {
  const type = headerValue(headers, 'content-type') ?? '';
  return type.trim().toLowerCase().startsWith(EVENT_STREAM_TYPE);
}

/** Settings and collaborators of a `ResponseAssembler`. */
export interface ResponseAssemblerOptions {
  readonly requestId: RequestId;
  /** Method of the request. */
  readonly method: string;
  readonly kind: RouteKind;
  readonly dialect: CallerDialect;
  readonly answer: CallerResponse;
  /**
   * Splits a resumable stream into complete events; null for every other
   * request.
   */
  readonly events: SseEventBuffer | null;
  /** Memory for the responses of all requests. */
  readonly budget: BufferBudget;
  /** Called once the caller accepts more data after backpressure. */
  readonly resume: () => void;
}

/** How far a response has come and how its end is determined. */
export interface ResponseProgress {
  readonly framing: BodyFraming;
  /** Whether it is a stream of events that stands inside one of them. */
  readonly isInsideEvent: boolean;
}

/** Outcome of a complete response. */
export interface ResponseAssemblyResult {
  readonly result: AttemptResult;
  /** An error response that may still be sent to the caller; null otherwise. */
  readonly failure: CompleteResponse | null;
}

/**
 * Receives the response of one attempt.
 *
 * Streams are relayed to the caller as they arrive. Every other response is
 * buffered until it is complete, so that a truncated one can be replaced by the
 * response of another replica or by an accurate error.
 */
export class ResponseAssembler {
  readonly #buffered: GrowingBuffer;
  #head: ResponseHead | null = null;
  #status = 0;
  #headers: RawHeaders = [];
  #framing: BodyFraming = 'closeDelimited';
  #isRelaying = false;
  /** Null unless the response is a stream of events that is resumable. */
  #events: SseEventBuffer | null = null;
  /** Null unless the response is a stream of events that is not resumable. */
  #boundary: SseBoundary | null = null;

  constructor(private readonly options: ResponseAssemblerOptions) {
    this.#buffered = new GrowingBuffer(options.budget);
  }

  /** Load that the replica reported; null if it reported none. */
  get load(): ReportedLoad | null {
    return this.#head?.load ?? null;
  }

  /**
   * Whether the response carries the stamp that proves execution by the
   * replica.
   */
  get wasExecuted(): boolean {
    return (
      this.#head !== null && this.#head.hasExecutionStamp && !this.#head.notRun
    );
  }

  /**
   * Requests per second that the replica accepts; null if it states no limit.
   */
  get limitPerS(): number | null {
    return this.#head?.limitPerS ?? null;
  }

  /** Whether the replica states that it is leaving. */
  get announcesLeave(): boolean {
    return this.#head?.isLeaving ?? false;
  }

  /**
   * Time for which the replica accepts nothing from this instance, in
   * milliseconds; null if it requests no pause.
   */
  get pauseMs(): number | null {
    return this.#head?.pauseMs ?? null;
  }

  /** Progress of the response; null before its head was accepted. */
  get progress(): ResponseProgress | null {
    return this.#head
      ? {
          framing: this.#framing,
          isInsideEvent: this.#isInsideEvent,
        }
      : null;
  }

  /** Whether the response is a stream of events and stands inside one of them. */
  get #isInsideEvent(): boolean {
    return (this.#events ?? this.#boundary)?.isInsideEvent === true;
  }

  /**
   * Whether it takes more than the end of the connection to show that the response is complete.
   */
  get endNeedsProof(): boolean {
    return (
      this.#head?.notRun === false &&
      this.#framing === 'closeDelimited' &&
      !this.#isInsideEvent
    );
  }

  /** Whether the head is that of an answer for the caller, not a rejection or a failure. */
  get isAnswer(): boolean {
    return (
      this.#head?.notRun === false &&
      (this.#isRelaying ||
        (this.#status < MIN_SERVER_ERROR_STATUS &&
          !this.options.answer.hasStarted))
    );
  }

  /** Whether the body is relayed to the caller as it arrives. */
  get isRelaying(): boolean {
    return this.#isRelaying;
  }

  /**
   * Accepts the response head.
   *
   * @returns whether it states that the replica did not run the request
   * @throws InvalidResponseError if it is not the head of a response to this request
   */
  start(status: number, headers: RawHeaders): boolean {
    const { requestId, method, kind, dialect, events } = this.options;
    const head = dialect.readResponse(status, headers);
    validateHead({ status, headers, head }, requestId);
    this.#head = head;
    this.#status = status;
    this.#headers = headers;
    this.#framing = bodyFraming({
      method,
      status,
      contentLength: headerValue(headers, 'content-length'),
      transferEncoding: headerValue(headers, 'transfer-encoding'),
    });
    this.#isRelaying =
      kind === 'streaming' && status < MIN_ERROR_STATUS && !head.notRun;
    if (this.#isRelaying) {
      this.#events = events;
      this.#boundary =
        events === null && isEventStream(headers) ? new SseBoundary() : null;
    }
    return head.notRun;
  }

  /**
   * Accepts a chunk of the body.
   *
   * @returns false if the replica should pause
   * @throws InvalidResponseError if the body can neither be kept nor relayed
   */
  push(chunk: Buffer): boolean {
    this.#boundary?.push(chunk);
    if (this.#isRelaying) {
      return this.#relay(this.#events?.push(chunk) ?? chunk);
    }
    const isBuffered =
      this.#buffered.length + chunk.length <= MAX_BUFFERED_BYTES &&
      this.#buffered.append(chunk);
    if (isBuffered) {
      return true;
    }
    if (!this.#mayRelayUnfinished) {
      throw new InvalidResponseError(
        'errorBody',
        `body of a response with status ${this.#status} is too large`,
      );
    }
    this.#isRelaying = true;
    this.#relay(this.#buffered.take());
    return this.#relay(chunk);
  }

  /** Discards what is buffered. */
  discard(): void {
    this.#buffered.take();
  }

  /**
   * Whether the response may be sent before it is complete. An error is sent only if its
   * length is known, and if it does not follow the beginning of another response.
   */
  get #mayRelayUnfinished(): boolean {
    return (
      this.#status < MIN_ERROR_STATUS ||
      (this.#head?.notRun === false &&
        !this.options.answer.hasStarted &&
        headerValue(this.#headers, 'content-length') !== undefined)
    );
  }

  /**
   * Finishes a response whose end is certain and sends it to the caller unless it is an error
   * that a retry may replace.
   *
   * A stream that ends inside an event was cut off, whatever its framing says.
   */
  complete(): ResponseAssemblyResult {
    if (!this.#head) {
      return { result: { kind: 'lost', reason: 'no answer' }, failure: null };
    }
    const status = this.#status;
    if (this.#head.notRun) {
      const reason = `status ${status}`;
      return { result: { kind: 'notRun', reason }, failure: null };
    }
    if (this.#isInsideEvent) {
      const reason = 'stream ended inside an event';
      return { result: { kind: 'lost', reason }, failure: null };
    }
    if (this.#isRelaying) {
      this.#relay(this.#events?.flush() ?? Buffer.alloc(0));
      this.#endRelay();
      return { result: this.#answered, failure: null };
    }
    return this.#completeBuffered();
  }

  get #answered(): AttemptResult {
    return {
      kind: 'answered',
      status: this.#status,
      framing: this.#framing,
    };
  }

  #completeBuffered(): ResponseAssemblyResult {
    const { dialect, answer } = this.options;
    const status = this.#status;
    const response: CompleteResponse = {
      status,
      decidedBy: 'replica',
      headers: dialect.toCallerHeaders(this.#headers),
      body: this.#buffered.take(),
    };
    if (status >= MIN_SERVER_ERROR_STATUS || answer.hasStarted) {
      return { result: { kind: 'failed', status }, failure: response };
    }
    if (!answer.isClosed) {
      answer.send(response);
    }
    return { result: this.#answered, failure: null };
  }

  #relay(chunk: Buffer): boolean {
    const { answer, resume } = this.options;
    if (answer.isClosed || chunk.length === 0) {
      return true;
    }
    this.#startRelay();
    const acceptsMore = answer.write(chunk);
    if (!acceptsMore) {
      answer.onDrain(resume);
    }
    return acceptsMore;
  }

  #endRelay(): void {
    const { answer } = this.options;
    if (!answer.isClosed) {
      this.#startRelay();
      answer.end();
    }
  }

  /**
   * Sends the head once; a resumed stream keeps the head of its first replica.
   */
  #startRelay(): void {
    const { answer, dialect } = this.options;
    if (!answer.hasStarted) {
      answer.start(this.#status, dialect.toCallerHeaders(this.#headers));
    }
  }
}
