import { write } from 'node:fs';

/** Bytes that may wait for a slow reader; about a second of the busiest log. */
const MAX_WAITING_BYTES = 512 * 1024;

/** Writes bytes somewhere without blocking; calls back when done. */
export type WriteBytes = (
  bytes: Buffer,
  done: (err: Error | null) => void,
) => void;

/**
 * Writes to standard output on a worker thread.
 *
 * @param bytes - what to write
 * @param done - called when it was written, or failed
 */
export const writeToStdout: WriteBytes = (bytes, done) => {
  write(1, bytes, 0, bytes.length, null, (err, written) => {
    if (err ?? written === bytes.length) {
      done(err);
      return;
    }
    writeToStdout(bytes.subarray(written), done);
  });
};

/**
 * Hands lines to a reader that may be slow or gone.
 *
 * Guards against a full pipe: Node.js writes to pipes synchronously, so a stalled
 * reader of standard output would stop every request. Here one write is under
 * way at a time, off the main thread, and lines beyond the bound are counted
 * instead of kept.
 */
export class LineWriter {
  #waiting: string[] = [];
  #waitingBytes = 0;
  #isWriting = false;
  #dropped = 0;

  constructor(private readonly writeBytes: WriteBytes = writeToStdout) {}

  /** Lines that were dropped since the last call. */
  takeDropped(): number {
    const dropped = this.#dropped;
    this.#dropped = 0;
    return dropped;
  }

  /** Takes a line without its end; drops it when the reader is too far behind. */
  write(line: string): void {
    if (this.#waitingBytes + line.length > MAX_WAITING_BYTES) {
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
      // A reader that is gone loses lines; nothing else depends on them.
      this.#isWriting = false;
      this.#flush();
    });
  }
}
