import type { Agent, IncomingMessage, RequestOptions } from 'node:http';
import { request } from 'node:http';
import { buffer } from 'node:stream/consumers';

import { nextTurn } from '../util/nextTurn.js';

/** A small request between servers. */
export interface WholeRequest {
  readonly address: string;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly type?: string;
  /** Further headers. */
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: Uint8Array;
  /** Keeps connections; a connection of its own where omitted. */
  readonly agent?: Agent;
  /** Bound on the whole exchange, in milliseconds. */
  readonly timeoutMs: number;
}

export interface WholeReply {
  readonly status: number;
  readonly body: Buffer;
}

function optionsOf(call: WholeRequest, signal: AbortSignal): RequestOptions {
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
 * Does something with a bound on its time.
 *
 * Guards against taking the own lack of processor for the silence of the other side:
 * timers come before reads, so an answer may be there when the time is up. What has
 * arrived is read first.
 */
async function within<Result>(
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
 * Sends a request and reads the whole answer.
 *
 * Guards against connections that fall silent: the bound ends the call, which
 * closes its connection, and the next call opens another.
 *
 * @param call - the request
 * @returns status and body
 * @throws Error when no whole answer came in time
 */
export function requestWhole(call: WholeRequest): Promise<WholeReply> {
  return within(call.timeoutMs, async signal => {
    const res = await new Promise<IncomingMessage>((resolve, reject) => {
      const req = request(optionsOf(call, signal));
      req.once('response', resolve);
      // Errors after the answer began reach whoever reads its body.
      req.on('error', reject);
      req.end(call.body);
    });
    return { status: res.statusCode ?? 0, body: await buffer(res) };
  });
}
