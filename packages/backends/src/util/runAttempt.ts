import type { AttemptFailure } from '@jujubecroft/decisions';

import { classifyFailure } from '../classifyFailure.js';
import type { AttemptHandle } from '../EngineCall.js';

/**
 * Runs an attempt so that it can be cancelled.
 *
 * @param run - does the work until it ends or the signal is aborted
 * @param onFailed - hears of a transport error, unless the attempt was cancelled
 * @returns handle to cancel; closing the connection makes the server stop
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
