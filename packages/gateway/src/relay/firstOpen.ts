import type { Socket } from 'node:net';

import { toError } from '../util/toError.js';

/** One way to open a connection; the signal aborts the attempt. */
export type OpenWay = (signal: AbortSignal) => Promise<Socket>;

/**
 * Tries ways to open a connection until one succeeds. Each is started when the
 * one before has failed, or has not succeeded for some time.
 *
 * @param ways - the ways, the best first
 * @param staggerMs - time after which the next way is tried as well, in
 *   milliseconds
 * @param outer - aborts all attempts
 * @returns the connection that opened first; others are closed
 * @throws the error of the last way if none succeeds
 */
export function firstOpen(
  ways: readonly OpenWay[],
  staggerMs: number,
  outer: AbortSignal,
): Promise<Socket> {
  const abort = new AbortController();
  const signal = AbortSignal.any([outer, abort.signal]);
  return new Promise((resolve, reject) => {
    let next = 0;
    let pending = 0;
    let isOpen = false;
    let timer: NodeJS.Timeout | undefined;

    const startNext = (): void => {
      clearTimeout(timer);
      const way = ways[next];
      if (!way || isOpen || signal.aborted) {
        return;
      }
      next += 1;
      pending += 1;
      timer = setTimeout(startNext, staggerMs);
      way(signal).then(onOpen, onFailed);
    };

    const onOpen = (socket: Socket): void => {
      clearTimeout(timer);
      if (isOpen || outer.aborted) {
        socket.destroy();
        return;
      }
      isOpen = true;
      abort.abort();
      resolve(socket);
    };

    const onFailed = (err: unknown): void => {
      pending -= 1;
      startNext();
      if (pending === 0 && !isOpen) {
        clearTimeout(timer);
        reject(toError(err));
      }
    };

    if (ways.length === 0) {
      reject(new Error('no other instance'));
      return;
    }
    startNext();
  });
}
