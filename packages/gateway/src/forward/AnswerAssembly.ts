import type { AttemptResult, ReportedLoad } from '@jujubecroft/decisions';
import type { RequestId, RouteKind } from '@jujubecroft/types';

import type {
  AnswerHead,
  CallerDialect,
  RawHeaders,
} from '../ports/CallerDialect.js';
import type { CallerAnswer, WholeAnswer } from './CallerAnswer.js';
import type { EventCutter } from './EventCutter.js';

const FIRST_FAILURE_STATUS = 400;
const FIRST_SERVER_FAILURE = 500;
/** Answers up to this size are held back until they are whole. */
const MAX_HELD_BYTES = 1024 * 1024;

/** What an assembly needs to know of its request. */
export interface AssemblyOptions {
  readonly requestId: RequestId;
  readonly kind: RouteKind;
  readonly dialect: CallerDialect;
  readonly answer: CallerAnswer;
  /** Cuts at event ends where the stream can be resumed; null elsewhere. */
  readonly events: EventCutter | null;
  /** Told once the caller takes more after a pause. */
  readonly resume: () => void;
}

/** How a whole answer is used. */
export interface AssembledResult {
  readonly result: AttemptResult;
  /** A failure answer that may still go to the caller; null for all else. */
  readonly failure: WholeAnswer | null;
}

/**
 * Takes in the answer of one attempt.
 *
 * Streams go to the caller as they come. All else is held back until it is whole,
 * so that an answer which breaks off can be replaced by another or by an honest
 * failure.
 */
export class AnswerAssembly {
  readonly #held: Buffer[] = [];
  #heldBytes = 0;
  #head: AnswerHead | null = null;
  #status = 0;
  #headers: RawHeaders = [];
  #relays = false;

  constructor(private readonly options: AssemblyOptions) {}

  /** Load that the replica told; null where it didn't. */
  get load(): ReportedLoad | null {
    return this.#head?.load ?? null;
  }

  /** Whether the answer bears the mark of a run. */
  get hasRun(): boolean {
    return this.#head !== null && this.#head.isStamped && !this.#head.notRun;
  }

  /** Requests a second that the replica takes; null where it names no limit. */
  get limitPerS(): number | null {
    return this.#head?.limitPerS ?? null;
  }

  /** Whether the body goes to the caller as it comes. */
  get relays(): boolean {
    return this.#relays;
  }

  /** Takes the head; returns whether it is an answer to this request. */
  start(status: number, headers: RawHeaders): boolean {
    const { requestId, kind, dialect } = this.options;
    const head = dialect.readAnswer(status, headers);
    // An answer of another request may come late, in the place of this one's.
    if (head.requestId !== requestId && !head.notRun) {
      return false;
    }
    const isSuccess = status < FIRST_FAILURE_STATUS;
    if (isSuccess && !head.isStamped) {
      return false;
    }
    this.#head = head;
    this.#status = status;
    this.#headers = headers;
    this.#relays = kind === 'streaming' && isSuccess && !head.notRun;
    return true;
  }

  /** Takes body bytes; returns false when the replica should pause. */
  take(chunk: Buffer): boolean {
    if (this.#relays) {
      return this.#relay(this.options.events?.push(chunk) ?? chunk);
    }
    this.#held.push(chunk);
    this.#heldBytes += chunk.length;
    const fits = this.#heldBytes <= MAX_HELD_BYTES;
    if (fits || this.#status >= FIRST_FAILURE_STATUS) {
      return true;
    }
    this.#relays = true;
    return this.#relay(Buffer.concat(this.#held));
  }

  /** Ends a whole answer and hands it to the caller, if it is one for them. */
  complete(): AssembledResult {
    if (!this.#head) {
      return { result: { kind: 'lost', reason: 'no answer' }, failure: null };
    }
    const status = this.#status;
    if (this.#head.notRun) {
      const reason = `status ${status}`;
      return { result: { kind: 'notRun', reason }, failure: null };
    }
    if (this.#relays) {
      this.#relay(this.options.events?.takeRest() ?? Buffer.alloc(0));
      this.#endRelay();
      return { result: { kind: 'answered', status }, failure: null };
    }
    return this.#completeHeld();
  }

  #completeHeld(): AssembledResult {
    const { dialect, answer } = this.options;
    const status = this.#status;
    const whole: WholeAnswer = {
      status,
      headers: dialect.toCaller(this.#headers),
      body: Buffer.concat(this.#held),
    };
    if (status >= FIRST_SERVER_FAILURE || answer.hasStarted) {
      return { result: { kind: 'failed', status }, failure: whole };
    }
    if (!answer.isClosed) {
      answer.send(whole);
    }
    return { result: { kind: 'answered', status }, failure: null };
  }

  #relay(chunk: Buffer): boolean {
    const { answer, resume } = this.options;
    if (answer.isClosed || chunk.length === 0) {
      return true;
    }
    this.#startRelay();
    const takesMore = answer.write(chunk);
    if (!takesMore) {
      answer.onDrain(resume);
    }
    return takesMore;
  }

  #endRelay(): void {
    const { answer } = this.options;
    if (!answer.isClosed) {
      this.#startRelay();
      answer.end();
    }
  }

  /** A resumed stream keeps the head that its first replica gave. */
  #startRelay(): void {
    const { answer, dialect } = this.options;
    if (!answer.hasStarted) {
      answer.start(this.#status, dialect.toCaller(this.#headers));
    }
  }
}
