import type {
  Agent,
  IncomingHttpHeaders,
  IncomingMessage,
  RequestOptions,
} from 'node:http';
import { request } from 'node:http';
import { buffer } from 'node:stream/consumers';

import { nextTurn } from '../util/nextTurn.js';

/** A small request from one server to another. */
export interface HttpCall {
  readonly address: string;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  /** Content type of the body. */
  readonly type?: string;
  /** Additional headers. */
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: Uint8Array;
  /**
   * Agent that keeps connections alive; without one, the request gets its own
   * connection.
   */
  readonly agent?: Agent;
  /** Timeout for the complete exchange, in milliseconds. */
  readonly timeoutMs: number;
}

/** A complete response. */
export interface HttpReply {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
}

function toRequestOptions(call: HttpCall, signal: AbortSignal): RequestOptions {
  const { address, method, path, type, headers, body, agent } = call;
  const [host, port] = address.split(':');
  return {
    host,
    port,
    method,
    path,
    agent: agent ?? false,
    headers: {
      ...headers,
      ...(type === undefined ? {} : { 'content-type': type }),
      ...(body === undefined ? {} : { 'content-length': body.length }),
    },
    signal,
  };
}

/**
 * Runs an operation with a timeout.
 *
 * Timers fire before pending reads are processed. If the event loop was
 * blocked, the response may have arrived when the timeout fires, so pending
 * reads are processed before the operation is aborted.
 */
async function withTimeout<Result>(
  timeoutMs: number,
  run: (signal: AbortSignal) => Promise<Result>,
): Promise<Result> {
  const abort = new AbortController();
  let isOver = false;
  const timer = setTimeout(() => {
    void nextTurn().then(() => {
      if (!isOver) {
        abort.abort();
      }
    });
  }, timeoutMs);
  try {
    return await run(abort.signal);
  } finally {
    isOver = true;
    clearTimeout(timer);
  }
}

/**
 * Sends a request and reads the complete response.
 *
 * The timeout also covers a connection that falls silent: it closes the
 * connection, and the next call opens another one.
 *
 * @param call - the request
 * @returns the response
 * @throws Error if no complete response arrives in time
 */
export function sendHttpRequest(call: HttpCall): Promise<HttpReply> {
  return withTimeout(call.timeoutMs, async signal => {
    const res = await new Promise<IncomingMessage>((resolve, reject) => {
      const req = request(toRequestOptions(call, signal));
      req.once('response', resolve);
      // After the response has begun, errors reach the reader of its body.
      req.on('error', reject);
      req.end(call.body);
    });
    return {
      status: res.statusCode ?? 0,
      headers: res.headers,
      body: await buffer(res),
    };
  });
}
