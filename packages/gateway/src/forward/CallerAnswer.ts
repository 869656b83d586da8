import type { ServerResponse } from 'node:http';

/** Status line, headers and body of a whole answer. */
export interface WholeAnswer {
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: Buffer;
}

const NO_BODY_STATUSES: readonly number[] = [204, 304];

function hasHeader(headers: readonly string[], name: string): boolean {
  return headers.some(
    (text, index) => index % 2 === 0 && text.toLowerCase() === name,
  );
}

/** The answer to one caller, written at most once. */
export class CallerAnswer {
  /**
   * @param res - towards the caller
   * @param isLeaving - whether connections should be closed after their answer
   */
  constructor(
    private readonly res: ServerResponse,
    private readonly isLeaving: () => boolean,
  ) {}

  /** Whether the caller has got the head. */
  get hasStarted(): boolean {
    return this.res.headersSent;
  }

  /** Whether the caller is gone or has its whole answer. */
  get isClosed(): boolean {
    return this.res.destroyed || this.res.writableEnded;
  }

  /** Writes the head of an answer whose body follows. */
  start(status: number, headers: readonly string[]): void {
    // Closing while an answer is on its way tells callers to connect elsewhere.
    const closing = this.isLeaving() ? ['connection', 'close'] : [];
    this.res.sendDate = false;
    this.res.writeHead(status, [...headers, ...closing]);
  }

  /** @returns false when the caller should be waited for */
  write(chunk: Buffer): boolean {
    return chunk.length === 0 || this.res.write(chunk);
  }

  /** Calls back once when the caller takes more. */
  onDrain(listener: () => void): void {
    this.res.once('drain', listener);
  }

  end(): void {
    this.res.end();
  }

  /** Writes a whole answer at once. */
  send({ status, headers, body }: WholeAnswer): void {
    const isHead = this.res.req.method === 'HEAD';
    const needsLength =
      !isHead &&
      !NO_BODY_STATUSES.includes(status) &&
      !hasHeader(headers, 'content-length');
    const length = needsLength ? ['content-length', String(body.length)] : [];
    this.start(status, [...headers, ...length]);
    this.res.end(body);
  }

  /** Ends an answer in the middle, so that it can't be taken for a whole one. */
  cut(): void {
    this.res.destroy();
  }
}
