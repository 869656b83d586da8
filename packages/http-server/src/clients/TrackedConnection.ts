import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import type { ClientAccount, ClientConnection } from './ClientAccount.js';
import { ConnectionInput } from './ConnectionInput.js';
import type { InputQueue } from './InputQueue.js';

/**
 * Memory of an unanswered request, in bytes: its objects, listeners and promises, and
 * for each of its header fields two strings.
 */
const REQUEST_BYTES = 8 * 1024;
const HEADER_TEXT_BYTES = 40;
/** Memory for a byte of a head that is not complete: it may consist of very short fields. */
const MEMORY_PER_HEAD_BYTE = 10;

/**
 * Memory for input of a paused connection, in bytes: Node.js reads, up to 64 KB at a time,
 * until it has buffered 16 KB.
 */
const PAUSED_BYTES = (16 + 64) * 1024;

function requestBytes({ rawHeaders }: IncomingMessage): number {
  return rawHeaders.reduce(
    (sum, text) => sum + HEADER_TEXT_BYTES + text.length,
    REQUEST_BYTES,
  );
}

/** A connection of a client to an HTTP server, and what it holds. */
export class TrackedConnection implements ClientConnection {
  readonly address: string;
  readonly #responses = new Map<ServerResponse, number>();
  readonly #input: ConnectionInput;
  #requestBytes = 0;
  #heldBytes = 0;
  #wasServed = false;
  #bytesRead = 0;
  #progressMs: number;
  #isClosed = false;
  #isDetached = false;

  /**
   * @param socket - connection that a server has just received
   * @param account - what all clients of the server hold
   * @param queue - turns of the connections of the server
   * @param clock - monotonic clock, in milliseconds
   */
  constructor(
    readonly socket: Socket,
    private readonly account: ClientAccount<TrackedConnection>,
    queue: InputQueue,
    private readonly clock: () => number,
  ) {
    this.address = socket.remoteAddress ?? '';
    this.#progressMs = clock();
    this.#input = new ConnectionInput(socket, queue, {
      unanswered: () => this.#responses.size,
      maxUnanswered: () => account.requestsAhead,
      onBody: bytes => {
        this.#onBody(bytes);
      },
      onChange: () => {
        this.#charge();
      },
    });
    socket.once('close', () => {
      this.#end();
    });
  }

  /** Responses that are not complete, oldest first. */
  get responses(): readonly ServerResponse[] {
    return [...this.#responses.keys()];
  }

  get requests(): number {
    return this.#responses.size;
  }

  get isWorking(): boolean {
    return (
      this.#isDetached ||
      this.responses.some(
        ({ req, writableEnded }) => req.complete && !writableEnded,
      )
    );
  }

  /** Whether the client has yet to take a part of an answer. */
  get isUnread(): boolean {
    return this.socket.writableLength > 0;
  }

  get wasServed(): boolean {
    return this.#wasServed;
  }

  get progressMs(): number {
    const { bytesRead } = this.socket;
    if (bytesRead !== this.#bytesRead) {
      this.#bytesRead = bytesRead;
      this.#progressMs = this.clock();
    }
    return this.#progressMs;
  }

  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** Number of bytes of a head that is not complete. */
  get headBytes(): number {
    return this.#input.headBytes;
  }

  /** Has to be called when the parser has read the head of a request. */
  onHead(req: IncomingMessage, res: ServerResponse): void {
    this.#input.onHead(req);
    this.#hold(res, requestBytes(req));
    res.once('close', () => {
      this.#onAnswered(res);
    });
    this.#charge();
  }

  /** Drops input that no request will be read from. */
  dropInput(): void {
    this.#input.drop();
  }

  /** Leaves the connection to others, which read what the server has not read yet. */
  detach(): void {
    this.#isDetached = true;
    const rest = this.#input.detach();
    if (rest.length > 0) {
      this.socket.unshift(rest);
    }
  }

  close(): void {
    // The memory is free from now on, not once the connection reports its end.
    this.#end();
    this.socket.destroy();
  }

  /** Adds to what the latest request holds. */
  #onBody(bytes: number): void {
    const latest = this.account.limits.countsBodies
      ? this.responses.at(-1)
      : undefined;
    if (latest) {
      this.#hold(latest, bytes);
    }
  }

  #hold(res: ServerResponse, bytes: number): void {
    this.#responses.set(res, (this.#responses.get(res) ?? 0) + bytes);
    this.#requestBytes += bytes;
  }

  #onAnswered(res: ServerResponse): void {
    this.#requestBytes -= this.#responses.get(res) ?? 0;
    this.#responses.delete(res);
    this.#wasServed ||= res.writableFinished;
    this.#progressMs = this.clock();
    this.#charge();
    this.#input.resume();
  }

  #charge(): void {
    const { waitingBytes, headBytes } = this.#input;
    const heldBytes = this.#isClosed
      ? 0
      : this.#requestBytes +
        waitingBytes +
        MEMORY_PER_HEAD_BYTE * headBytes +
        (this.socket.isPaused() ? PAUSED_BYTES : 0);
    const change = heldBytes - this.#heldBytes;
    this.#heldBytes = heldBytes;
    if (change !== 0) {
      this.account.charge(change);
    }
  }

  #end(): void {
    this.#isClosed = true;
    this.#input.drop();
    this.#charge();
    this.account.remove(this);
  }
}
