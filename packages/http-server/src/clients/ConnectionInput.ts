import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

import { HeadBoundary } from './HeadBoundary.js';
import type { InputQueue, ResumeInput } from './InputQueue.js';

type DataListener = (data: Buffer) => void;

/**
 * Length of the shortest request that may be followed by another one. Shorter pieces are
 * the empty lines that a parser skips, each of which would cost as much as a head.
 */
const MIN_HEAD_BYTES = 'GET / HTTP/1.1\r\n\r\n'.length;
/** Minimum size of a piece of a chunked body, which may consist of empty lines. */
const MIN_CHUNKED_BYTES = 256;
/** Maximum size of such a piece, since chunks of one byte take long to parse. */
const MAX_CHUNKED_BYTES = 2048;
const CONTENT_LENGTH = 'content-length';

/** Length of a body as its head states it, in bytes; 0 if it states none. */
function statedLength({ rawHeaders }: IncomingMessage): number {
  const index = rawHeaders.findIndex(
    (text, position) =>
      position % 2 === 0 &&
      text.length === CONTENT_LENGTH.length &&
      text.toLowerCase() === CONTENT_LENGTH,
  );
  return index === -1 ? 0 : Number(rawHeaders[index + 1]);
}

/** What a `ConnectionInput` asks. */
export interface InputControl {
  /** Number of requests without a complete response. */
  readonly unanswered: () => number;
  /** Number of them at which no further request is read. */
  readonly maxUnanswered: () => number;
  /** Called with the size of each piece of a body that was passed. */
  readonly onBody: (bytes: number) => void;
  /** Called when the number of bytes that it keeps has changed. */
  readonly onChange: () => void;
}

/**
 * Passes the input of a connection to the parser of its HTTP server, one request at a time.
 *
 * By itself, a server parses all it reads at once, and makes objects of every request in
 * it. A read of 64 KB holds thousands of short ones, and pausing the connection inside it
 * has no effect. Here, the rest of a read waits while no further request may begin.
 *
 * What costs little is passed at once: a request that no other one precedes, and a body of
 * stated length. Requests sent ahead and chunked bodies take turns with those of other
 * connections.
 */
export class ConnectionInput {
  readonly #boundary = new HeadBoundary();
  /** What the server would pass to its parser. */
  readonly #listeners: readonly DataListener[];
  /** Input that was read and not passed, oldest first. */
  readonly #waiting: Buffer[] = [];
  #waitingBytes = 0;
  /** Size of the part of a head that was passed. */
  #headBytes = 0;
  /** The request whose body is passed; null between requests. */
  #open: IncomingMessage | null = null;
  /** What is left of that body; 0 if it has no stated length. */
  #bodyBytesLeft = 0;
  #isPassing = false;
  /** Whether the connection is paused since input waits. */
  #isPaused = false;

  /**
   * @param socket - connection that a server has just received
   * @param queue - turns of the connections of the server
   * @param control - decides when requests may begin
   */
  constructor(
    private readonly socket: Socket,
    private readonly queue: InputQueue,
    private readonly control: InputControl,
  ) {
    this.#listeners = socket.listeners('data') as DataListener[];
    // With a listener, the parser no longer reads the connection by itself.
    socket.on('data', this.#onData);
    this.#listeners.forEach(listener => {
      socket.removeListener('data', listener);
    });
    socket.on('resume', this.#onResume);
  }

  /** Number of bytes that were read and not passed. */
  get waitingBytes(): number {
    return this.#waitingBytes;
  }

  /** Number of bytes of a head that is not complete. */
  get headBytes(): number {
    return this.#headBytes;
  }

  /** Has to be called when the parser has read the head of a request. */
  onHead(req: IncomingMessage): void {
    this.#open = req;
    this.#headBytes = 0;
  }

  /** Passes what waits in a later turn, if a further request may begin. */
  resume(): void {
    if (this.#isPaused && this.#mayBegin(this.control.maxUnanswered())) {
      this.queue.add(this.#continue);
    }
  }

  /** Passes no more input, and returns what waits. */
  detach(): Buffer {
    this.socket.removeListener('data', this.#onData);
    this.socket.removeListener('resume', this.#onResume);
    const rest = Buffer.concat(this.#waiting);
    this.drop();
    return rest;
  }

  /** Drops what waits. */
  drop(): void {
    this.#waiting.length = 0;
    this.#waitingBytes = 0;
    this.#headBytes = 0;
    this.#isPaused = false;
    this.control.onChange();
  }

  readonly #onData = (data: Buffer): void => {
    this.#waiting.push(data);
    this.#waitingBytes += data.length;
    this.#passFirst();
  };

  readonly #onResume = (): void => {
    // The event is late: input that waits may have paused the connection again.
    if (!this.socket.isPaused()) {
      this.#isPaused = false;
      this.#passFirst();
    }
  };

  readonly #continue: ResumeInput = isOver => {
    const maxUnanswered = this.control.maxUnanswered();
    if (this.#isPaused && this.#mayBegin(maxUnanswered)) {
      this.#isPaused = false;
      this.socket.resume();
      this.#passWhile(() => this.#mayPass(maxUnanswered), isOver);
    }
  };

  /** Passes what need not take turns. */
  #passFirst(): void {
    this.#passWhile(() => this.#mayPass(1) && !this.#isChunked);
  }

  #passWhile(mayPass: () => boolean, isOver = (): boolean => false): void {
    if (this.#isPassing) {
      return;
    }
    this.#isPassing = true;
    try {
      while (mayPass()) {
        this.#passPiece();
        if (isOver()) {
          break;
        }
      }
    } finally {
      this.#isPassing = false;
    }
    if (this.#waitingBytes > 0 && !this.socket.isPaused()) {
      this.#isPaused = true;
      this.socket.pause();
      this.resume();
    }
    this.control.onChange();
  }

  /** Whether the next piece belongs to a body without a stated length. */
  get #isChunked(): boolean {
    return this.#open !== null && this.#bodyBytesLeft === 0;
  }

  /** Whether the next piece may be passed, which may begin a request. */
  #mayBegin(maxUnanswered: number): boolean {
    return (
      this.#open !== null ||
      this.#headBytes > 0 ||
      this.control.unanswered() < maxUnanswered
    );
  }

  #mayPass(maxUnanswered: number): boolean {
    const { socket } = this;
    return (
      this.#waitingBytes > 0 &&
      !socket.destroyed &&
      // The server pauses the connection of a body that is not read.
      !socket.isPaused() &&
      this.#mayBegin(maxUnanswered)
    );
  }

  #passPiece(): void {
    const [first = Buffer.alloc(0)] = this.#waiting;
    const length = this.#nextLength(first);
    const piece = length === first.length ? first : first.subarray(0, length);
    if (piece === first) {
      this.#waiting.shift();
    } else {
      this.#waiting[0] = first.subarray(length);
    }
    this.#waitingBytes -= length;
    const before = this.#open;
    if (before === null) {
      this.#headBytes += length;
    }
    this.#listeners.forEach(listener => {
      listener.call(this.socket, piece);
    });
    this.#onPassed(before, piece);
  }

  /** Length of the next piece, which ends with the body, or where a request may begin. */
  #nextLength(input: Buffer): number {
    if (this.#open !== null) {
      return this.#bodyBytesLeft > 0
        ? Math.min(this.#bodyBytesLeft, input.length)
        : this.#boundary.next(
            input.subarray(0, MAX_CHUNKED_BYTES),
            MIN_CHUNKED_BYTES,
          );
    }
    return this.#boundary.next(
      input,
      this.#headBytes === 0 ? MIN_HEAD_BYTES : 1,
    );
  }

  #onPassed(before: IncomingMessage | null, piece: Buffer): void {
    this.#boundary.onPassed(piece);
    const open = this.#open;
    if (open === null) {
      if (this.#boundary.isReached) {
        // The lines were empty; otherwise they would have ended a head.
        this.#headBytes = 0;
      }
    } else if (open !== before) {
      this.#bodyBytesLeft = open.complete ? 0 : statedLength(open);
    } else {
      this.#bodyBytesLeft = Math.max(this.#bodyBytesLeft - piece.length, 0);
      this.control.onBody(piece.length);
    }
    if (open?.complete) {
      this.#open = null;
    }
  }
}
