import type { ServerResponse } from 'node:http';

/** Status, headers and body of a complete response. */
export interface CompleteResponse {
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: Buffer;
}

const BODYLESS_STATUSES: readonly number[] = [204, 304];

function hasHeader(headers: readonly string[], name: string): boolean {
  return headers.some(
    (text, index) => index % 2 === 0 && text.toLowerCase() === name,
  );
}

/** The response to one caller, which is written at most once. */
export class CallerResponse {
  /**
   * @param res - response of the caller's connection
   * @param isStopping - whether connections should be closed after their
   *   response
   */
  constructor(
    private readonly res: ServerResponse,
    private readonly isStopping: () => boolean,
  ) {}

  /** Whether the response head has been written. */
  get hasStarted(): boolean {
    return this.res.headersSent;
  }

  /** Whether the connection is closed or the response is complete. */
  get isClosed(): boolean {
    return this.res.destroyed || this.res.writableEnded;
  }

  /** Writes the head of a response whose body follows. */
  start(status: number, headers: readonly string[]): void {
    // Closing the connection after this response makes the caller connect to
    // another instance.
    const closing = this.isStopping() ? ['connection', 'close'] : [];
    this.res.sendDate = false;
    this.res.writeHead(status, [...headers, ...closing]);
  }

  /**
   * Writes a chunk of the body.
   *
   * @returns false if the caller applies backpressure
   */
  write(chunk: Buffer): boolean {
    return chunk.length === 0 || this.res.write(chunk);
  }

  /** Calls the listener once, when the caller accepts more data. */
  onDrain(listener: () => void): void {
    this.res.once('drain', listener);
  }

  end(): void {
    this.res.end();
  }

  /** Writes a complete response. */
  send({ status, headers, body }: CompleteResponse): void {
    const isHead = this.res.req.method === 'HEAD';
    const needsLength =
      !isHead &&
      !BODYLESS_STATUSES.includes(status) &&
      !hasHeader(headers, 'content-length');
    const length = needsLength ? ['content-length', String(body.length)] : [];
    this.start(status, [...headers, ...length]);
    this.res.end(body);
  }

  /**
   * Aborts the connection, so that a partial response is not mistaken for a
   * complete one.
   */
  cut(): void {
    this.res.destroy();
  }
}
