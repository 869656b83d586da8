import { createStdoutWriter } from './writeToStdout.js';

/** Bytes buffered for a slow reader; about one second of the busiest log. */
const MAX_BUFFERED_BYTES = 512 * 1024;

/** Writes bytes without blocking and calls back once they are written or the write failed. */
export type WriteBytes = (
  bytes: Buffer,
  done: (err: Error | null) => void,
) => void;

/**
 * Writes lines to a reader that may be slow or gone.
 *
 * Node.js writes to pipes synchronously, so a stalled reader of standard output
 * would block every request. This class instead performs one write at a time that
 * does not block, buffers a bounded amount, and drops and counts further lines.
 */
export class LineWriter {
  #waiting: string[] = [];
  #waitingBytes = 0;
  #isWriting = false;
  #dropped = 0;

  constructor(private readonly writeBytes: WriteBytes = createStdoutWriter()) {}

  /** @returns the number of lines dropped since the last call */
  takeDropped(): number {
    const dropped = this.#dropped;
    this.#dropped = 0;
    return dropped;
  }

  /** Queues a line, given without its line break; drops it when the buffer is full. */
  write(line: string): void {
    if (this.#waitingBytes + line.length > MAX_BUFFERED_BYTES) {
      this.#dropped += 1;
      return;
    }
    this.#waiting.push(line);
    this.#waitingBytes += line.length;
    if (!this.#isWriting) {
      this.#flush();
    }
  }

  #flush(): void {
    if (this.#waiting.length === 0) {
      return;
    }
    const bytes = Buffer.from(`${this.#waiting.join('\n')}\n`);
    this.#waiting = [];
    this.#waitingBytes = 0;
    this.#isWriting = true;
    this.writeBytes(bytes, () => {
      // Errors are ignored: nothing but the reader of the log depends on its lines.
      this.#isWriting = false;
      this.#flush();
    });
  }
}
