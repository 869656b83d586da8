import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { isBodyless } from '@jujubecroft/types';

import type { NotRunProof } from '../execution/ExecutionRecord.js';
import { headerValue } from '../util/headers.js';

/** Who decided the status of a response. */
export type StatusSource = 'gateway' | 'replica';

/** Status, headers and body of a complete response. */
export interface CompleteResponse {
  readonly status: number;
  readonly decidedBy: StatusSource;
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** What a `CallerResponse` asks and reports. */
export interface CallerResponseOptions {
  /** Whether connections should be closed after their response. */
  readonly isStopping: () => boolean;
  /** Called with each status that is written. */
  readonly onStatus: (
    status: number,
    decidedBy: StatusSource,
    proof: NotRunProof | null,
  ) => void;
  /** Whether callers take a status for the promise that their request did not run. */
  readonly promisesNotRun: (status: number) => boolean;
}

/** Larger chunks are not copied to be framed. */
const MAX_COPIED_BYTES = 16 * 1024;
const CR = 13;
const LF = 10;
const HEXADECIMAL = 16;

/** Frames data as one chunk of the chunked transfer coding. */
function toHttpChunk(data: Buffer): Buffer {
  const size = `${data.length.toString(HEXADECIMAL)}\r\n`;
  const framed = Buffer.allocUnsafe(size.length + data.length + 2);
  framed.write(size, 'latin1');
  data.copy(framed, size.length);
  framed[framed.length - 2] = CR;
  framed[framed.length - 1] = LF;
  return framed;
}

function hasLength(headers: readonly string[]): boolean {
  return headerValue(headers, 'content-length') !== undefined;
}

/** Makes the connection write what it was given until the next tick at once. */
function corkUntilNextTick(socket: Socket): void {
  if (socket.writableCorked === 0) {
    socket.cork();
    process.nextTick(() => {
      socket.uncork();
    });
  }
}

/**
 * The response to one caller, which is written at most once.
 *
 * Every status for a request that was read leaves through it. One that promises that the request
 * did not run needs the proof; without it, nothing is written.
 */
export class CallerResponse {
  /** Connection on which the head and a first chunk were written. */
  #socket: Socket | null = null;
  #hasLength = false;
  #waitsForCaller = false;
  #bodyBytes = 0;
  #cutCode: string | null = null;
  /** What emits `drain` after the latest write. */
  #drained: ServerResponse | Socket;

  /**
   * @param res - response of the caller's connection
   * @param options - what it asks and reports
   */
  constructor(
    private readonly res: ServerResponse,
    private readonly options: CallerResponseOptions,
  ) {
    this.#drained = res;
  }

  /** Whether the response head has been written. */
  get hasStarted(): boolean {
    return this.res.headersSent;
  }

  /** Whether the connection is closed or the response is complete. */
  get isClosed(): boolean {
    return this.res.destroyed || this.res.writableEnded;
  }

  /** Number of bytes of the body that were passed to the connection. */
  get bodyBytes(): number {
    return this.#bodyBytes;
  }

  /** Why the response was aborted; null if it was not or nobody said why. */
  get cutCode(): string | null {
    return this.#cutCode;
  }

  /** Whether the framing of the response proves that its body is complete. */
  get #isSelfDelimited(): boolean {
    return this.res.chunkedEncoding || this.#hasLength;
  }

  /**
   * Writes the head of a replica's response whose body follows.
   *
   * A body of unknown length is sent in chunks, so that it looks complete only once this
   * instance has written the last one. The end of the connection would complete it as well
   * when the process dies. Callers of HTTP/1.0 know no chunks and can't tell the two apart.
   *
   * @param status - status of the replica
   * @param headers - names and values in alternation
   * @throws Error if the status promises that the request did not run
   */
  start(status: number, headers: readonly string[]): void {
    this.#writeHead({ status, decidedBy: 'replica', headers }, null);
  }

  #writeHead(
    { status, decidedBy, headers }: Omit<CompleteResponse, 'body'>,
    proof: NotRunProof | null,
  ): void {
    const { isStopping, onStatus, promisesNotRun } = this.options;
    if (proof === null && promisesNotRun(status)) {
      throw new Error(
        `no proof for status ${status}, which promises "not run"`,
      );
    }
    // Closing the connection after this response makes the caller connect to
    // another instance.
    const closing = isStopping() ? ['connection', 'close'] : [];
    this.res.sendDate = false;
    this.#hasLength = hasLength(headers);
    this.res.writeHead(status, [...headers, ...closing]);
    onStatus(status, decidedBy, proof);
  }

  /**
   * Writes a chunk of the body.
   *
   * After the first one, small chunks of a chunked response are framed here.
   * Node.js would pass each of them to the connection as four pieces, and write
   * these as a list.
   *
   * @returns false if the caller applies backpressure
   */
  write(chunk: Buffer): boolean {
    if (chunk.length === 0) {
      return true;
    }
    this.#bodyBytes += chunk.length;
    const { res } = this;
    const socket = this.#socket;
    if (socket?.writable === true && chunk.length <= MAX_COPIED_BYTES) {
      this.#drained = socket;
      // Events that arrive in one read are written at once.
      corkUntilNextTick(socket);
      return socket.write(toHttpChunk(chunk));
    }
    const acceptsMore = res.write(chunk);
    this.#drained = res;
    // A response without a connection waits for that of an earlier request on
    // the same connection.
    this.#socket = res.chunkedEncoding ? res.socket : null;
    return acceptsMore;
  }

  /** Whether the caller has yet to read what was written. */
  get waitsForCaller(): boolean {
    return this.#waitsForCaller;
  }

  /** Calls the listener once, when the caller accepts more data. */
  onDrain(listener: () => void): void {
    this.#waitsForCaller = true;
    this.#drained.once('drain', () => {
      this.#waitsForCaller = false;
      listener();
    });
  }

  /** Ends the body, which states that it is complete. */
  end(): void {
    this.res.end();
  }

  /**
   * Writes a complete response.
   *
   * @param response - the response
   * @throws Error if the status promises that the request did not run
   */
  send(response: CompleteResponse): void {
    this.#sendComplete(response, null);
  }

  /**
   * Refuses the request with a complete response.
   *
   * @param response - the response
   * @param proof - proves that the request did not run
   */
  refuse(response: CompleteResponse, proof: NotRunProof): void {
    this.#sendComplete(response, proof);
  }

  #sendComplete(response: CompleteResponse, proof: NotRunProof | null): void {
    const { status, headers, body } = response;
    const { method = '' } = this.res.req;
    const needsLength = !isBodyless(method, status) && !hasLength(headers);
    const length = needsLength ? ['content-length', String(body.length)] : [];
    this.#writeHead({ ...response, headers: [...headers, ...length] }, proof);
    this.#bodyBytes += body.length;
    this.res.end(body);
  }

  /**
   * Aborts the connection, so that a partial response is not mistaken for a
   * complete one.
   *
   * A regular end of the connection would complete a body that only the
   * connection delimits, such as that of a caller without chunked coding.
   *
   * @param code - why, for the log; null if it is known otherwise
   */
  cut(code: string | null = null): void {
    this.#cutCode ??= code;
    const { socket } = this.res;
    if (this.hasStarted && !this.#isSelfDelimited && !this.isClosed) {
      socket?.resetAndDestroy();
    }
    this.res.destroy();
  }
}
