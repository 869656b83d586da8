import type { Dispatcher, Pool } from 'undici';

import type { AttemptHandle, AttemptListener } from './EngineCall.js';
import { runAttempt } from './util/runAttempt.js';

/** One call of a plain service, passed on as it came. */
export interface ServiceCall {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer | null;
}

/** The whole reply of a plain service. */
export interface ServiceReply {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
}

const UNAVAILABLE = 503;

/** Headers that concern one connection only and are never passed on. */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'content-length',
  'date',
  'keep-alive',
  'transfer-encoding',
]);

function passedHeaders(
  headers: Dispatcher.ResponseData['headers'],
): Readonly<Record<string, string>> {
  return Object.fromEntries(
    Object.entries(headers)
      .filter(([name]) => !CONNECTION_HEADERS.has(name))
      .map(([name, value]) => [name, String(value)]),
  );
}

async function run(
  pool: Pool,
  call: ServiceCall,
  listener: AttemptListener<ServiceReply>,
  signal: AbortSignal,
): Promise<void> {
  const res = await pool.request({
    path: call.path,
    method: call.method,
    headers: call.headers,
    body: call.body,
    signal,
  });
  const body = Buffer.from(await res.body.arrayBuffer());
  if (res.statusCode === UNAVAILABLE) {
    listener.onFailed({ ran: 'no', reason: 'refused' });
    return;
  }
  const headers = passedHeaders(res.headers);
  listener.onProgress({ status: res.statusCode, headers, body });
  listener.onFinished();
}

/**
 * Sends a call to a plain service and waits for its whole reply.
 *
 * A reply with status 503 is taken as the service's word that it did not run
 * the call; every other status is the service's answer.
 *
 * @param pool - connections to the service
 * @param call - method, path, headers and body
 * @param listener - hears the reply as one progress call, then the end
 * @returns handle to cancel
 */
export function startServiceAttempt(
  pool: Pool,
  call: ServiceCall,
  listener: AttemptListener<ServiceReply>,
): AttemptHandle {
  return runAttempt(
    signal => run(pool, call, listener, signal),
    failure => {
      listener.onFailed(failure);
    },
  );
}
