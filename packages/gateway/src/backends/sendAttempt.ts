import type { Dispatcher, Pool } from 'undici';

import type { RawHeaders } from '../ports/CallerDialect.js';

/** A request as it goes to a backend server. */
export interface BackendCall {
  readonly method: string;
  /** Path and query, as the caller wrote them. */
  readonly target: string;
  readonly headers: string[];
  /** Null where the caller sent none. */
  readonly body: Buffer | null;
}

/** How an exchange with a backend server ended. */
export type ExchangeEnd =
  | { readonly kind: 'complete' }
  | { readonly kind: 'failed'; readonly sent: boolean; readonly reason: string }
  | { readonly kind: 'aborted'; readonly sent: boolean };

/** Told while an answer comes in. */
export interface AnswerListener {
  /** @returns false to give the exchange up */
  readonly onStart: (status: number, headers: RawHeaders) => boolean;
  /** Whether the end that is told of right now is a reset. */
  readonly endsByReset: () => boolean;
  /** @returns false to pause until `resume` */
  readonly onData: (chunk: Buffer) => boolean;
}

/** An exchange under way. */
export interface RunningExchange {
  readonly ended: Promise<ExchangeEnd>;
  /** Withdraws the request; its connection is closed if it was sent. */
  readonly abort: () => void;
  /** Goes on after a pause. */
  readonly resume: () => void;
}

const ABORTED = new Error('withdrawn by this instance');
const FIRST_FINAL_STATUS = 200;

function toTexts(raw: Dispatcher.DispatchController['rawHeaders']): RawHeaders {
  // Header bytes beyond ASCII are passed on one by one, as they came.
  return Array.isArray(raw)
    ? raw.map(item =>
        typeof item === 'string' ? item : item.toString('latin1'),
      )
    : [];
}

/**
 * Sends one request to a backend server.
 *
 * @param pool - connections to it
 * @param call - the request
 * @param listener - takes the answer
 * @returns the exchange; `ended` never rejects
 */
export function sendAttempt(
  pool: Pool,
  call: BackendCall,
  listener: AnswerListener,
): RunningExchange {
  let controller: Dispatcher.DispatchController | null = null;
  let sent = false;
  let aborted = false;
  let settle: (end: ExchangeEnd) => void = () => undefined;
  const ended = new Promise<ExchangeEnd>(resolve => {
    settle = resolve;
  });

  const abort = (): void => {
    aborted = true;
    controller?.abort(ABORTED);
    settle({ kind: 'aborted', sent });
  };

  const handler: Dispatcher.DispatchHandler = {
    onRequestStart: started => {
      controller = started;
      // A request that was written once must not be written again by the
      // client's own recovery: it may have run.
      if (aborted || sent) {
        started.abort(ABORTED);
        return;
      }
      sent = true;
    },
    onResponseStart: (started, status) => {
      if (status < FIRST_FINAL_STATUS) {
        return;
      }
      if (!listener.onStart(status, toTexts(started.rawHeaders))) {
        abort();
      }
    },
    onResponseData: (started, chunk) => {
      if (!listener.onData(chunk)) {
        started.pause();
      }
    },
    onResponseEnd: () => {
      settle(
        listener.endsByReset()
          ? { kind: 'failed', sent, reason: 'reset with the last bytes' }
          : { kind: 'complete' },
      );
    },
    onResponseError: (_started, err) => {
      settle(
        aborted
          ? { kind: 'aborted', sent }
          : { kind: 'failed', sent, reason: err.message },
      );
    },
  };

  try {
    pool.dispatch(
      {
        path: call.target,
        method: call.method,
        headers: call.headers,
        body: call.body,
      },
      handler,
    );
  } catch (err) {
    const reason = err instanceof Error ? err.message : String(err);
    settle({ kind: 'failed', sent, reason });
  }

  return {
    ended,
    abort,
    resume: () => {
      controller?.resume();
    },
  };
}
