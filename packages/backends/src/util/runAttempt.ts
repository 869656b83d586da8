import type { AttemptFailure } from '@jujubecroft/decisions';

import { classifyFailure } from '../classifyFailure.js';
import type { AttemptHandle } from '../EngineCall.js';

/**
 * Starts an attempt that can be cancelled.
 *
 * @param run - performs the attempt; stops when the signal is aborted
 * @param onFailed - called on a transport error, unless the attempt was cancelled
 * @returns handle that cancels the attempt; closing the connection makes the server
 *   stop as well
 */
export function runAttempt(
  run: (signal: AbortSignal) => Promise<void>,
  onFailed: (failure: AttemptFailure) => void,
): AttemptHandle {
  const controller = new AbortController();
  run(controller.signal).catch((err: unknown) => {
    if (!controller.signal.aborted) {
      onFailed(classifyFailure(err));
    }
  });
  return {
    cancel: () => {
      controller.abort();
    },
  };
}
