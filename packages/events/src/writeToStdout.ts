import { constants, fstatSync, openSync, write, writeSync } from 'node:fs';

import type { WriteBytes } from './LineWriter.js';

const STDOUT = 1;
/** Pause before another attempt where the pipe is full and its mode is not to wait. */
const RETRY_MS = 50;

/**
 * Opens standard output for writes that never wait for a reader.
 *
 * A pipe is opened once more, since its mode applies to all processes that share
 * the descriptor. A file has no reader to wait for.
 *
 * @returns a descriptor; null if writes may wait
 */
function openWithoutWaiting(): number | null {
  try {
    const stats = fstatSync(STDOUT);
    if (stats.isFIFO()) {
      return openSync(
        '/proc/self/fd/1',
        constants.O_WRONLY | constants.O_NONBLOCK,
      );
    }
    return stats.isFile() ? STDOUT : null;
  } catch {
    return null;
  }
}

/** Writes what fits without waiting; returns the number of bytes written. */
function writeWithoutWaiting(descriptor: number, bytes: Buffer): number {
  try {
    return writeSync(descriptor, bytes);
  } catch {
    // The pipe is full or its reader is gone; the thread pool waits for it or
    // reports the error.
    return 0;
  }
}

/** Writes all bytes, however long that takes. */
function writeInThreadPool(
  bytes: Buffer,
  done: (err: Error | null) => void,
): void {
  write(STDOUT, bytes, 0, bytes.length, null, (err, written) => {
    if (err?.code === 'EAGAIN') {
      setTimeout(writeInThreadPool, RETRY_MS, bytes, done);
      return;
    }
    if (err ?? written === bytes.length) {
      done(err);
      return;
    }
    writeInThreadPool(bytes.subarray(written), done);
  });
}

/**
 * Creates a function that writes to standard output without blocking.
 *
 * The thread pool of Node.js is used only for what a reader has no room for: it
 * costs several system calls and a wake-up of each thread, which took a tenth of
 * the processor time of a request.
 */
export function createStdoutWriter(): WriteBytes {
  const descriptor = openWithoutWaiting();
  return (bytes, done) => {
    const written =
      descriptor === null ? 0 : writeWithoutWaiting(descriptor, bytes);
    if (written === bytes.length) {
      done(null);
      return;
    }
    writeInThreadPool(bytes.subarray(written), done);
  };
}
