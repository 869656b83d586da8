import type {
  Agent,
  IncomingHttpHeaders,
  IncomingMessage,
  RequestOptions,
} from 'node:http';
import { request } from 'node:http';
import { finished } from 'node:stream/promises';
import { STRICT_PARSER } from '@jujubecroft/types';

import { BufferBudget } from '../responses/BufferBudget.js';
import { checkHeads, malformedHead } from '../responses/checkHeads.js';
import { limitFraming } from '../responses/FramingLimit.js';
import { GrowingBuffer } from '../responses/GrowingBuffer.js';
import { nextTurn } from '../util/nextTurn.js';
import { watchForFailure } from './watchForFailure.js';

/** Limit for the body of a response. */
const MAX_REPLY_BYTES = 32 * 1024 * 1024;

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
    ...STRICT_PARSER,
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
  run: (abort: AbortController) => Promise<Result>,
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
    return await run(abort);
  } finally {
    isOver = true;
    clearTimeout(timer);
  }
}

/**
 * Sends a request and reads the complete response.
 *
 * The timeout also covers a connection that falls silent: it closes the
 * connection, and the next call opens another one. So does a response that is too large.
 *
 * @param call - the request
 * @returns the response
 * @throws Error if no complete response arrives in time, or if it is too large
 */
export function sendHttpRequest(call: HttpCall): Promise<HttpReply> {
  return withTimeout(call.timeoutMs, async abort => {
    const { signal } = abort;
    const body = new GrowingBuffer(new BufferBudget(MAX_REPLY_BYTES));
    const req = request(toRequestOptions(call, signal));
    let chunks = 0;
    let hasFailed = (): boolean => false;
    limitFraming(
      req,
      () => ({ bytes: body.length, chunks }),
      err => {
        abort.abort(err);
      },
    );
    const isHeadRead = checkHeads(req, err => {
      req.destroy(err);
    });
    const res = await new Promise<IncomingMessage>((resolve, reject) => {
      req.once('response', received => {
        if (!isHeadRead()) {
          reject(malformedHead());
          req.destroy();
          return;
        }
        received.on('data', (chunk: Buffer) => {
          chunks += 1;
          if (!body.append(chunk)) {
            abort.abort(new Error('reply is too large'));
          }
        });
        hasFailed = watchForFailure(req, received);
        resolve(received);
      });
      // After the response has begun, errors reach the reader of its body, or `hasFailed`.
      req.on('error', reject);
      req.once('close', () => {
        reject(new Error('connection closed without a response'));
      });
      req.end(call.body);
    });
    await finished(res);
    // A body without a length ends regularly when its connection is closed here.
    signal.throwIfAborted();
    if (hasFailed()) {
      throw new Error('connection failed before the reply was complete');
    }
    return {
      status: res.statusCode ?? 0,
      headers: res.headers,
      body: body.take(),
    };
  });
}
