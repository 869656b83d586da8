import type { Dispatcher, Pool } from 'undici';
import type { BodyFraming } from '@jujubecroft/types';
import { bodyFraming } from '@jujubecroft/types';

import type { AttemptHandle, AttemptListener } from './EngineCall.js';
import { failureOf } from './util/failureOf.js';
import { runAttempt } from './util/runAttempt.js';

/** One call to a plain service, forwarded as received. */
export interface ServiceCall {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer | null;
}

/** The complete reply of a plain service. */
export interface ServiceReply {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
  /** Framing with which the body was received. */
  readonly framing: BodyFraming;
}

const UNAVAILABLE = 503;

/** Headers that concern a single connection or message and are not forwarded. */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'content-length',
  'date',
  'keep-alive',
  'transfer-encoding',
]);

function forwardedHeaders(
  headers: Dispatcher.ResponseData['headers'],
): Readonly<Record<string, string>> {
  return Object.fromEntries(
    Object.entries(headers)
      .filter(([name]) => !CONNECTION_HEADERS.has(name))
      .map(([name, value]) => [name, String(value)]),
  );
}

function textOf(value: string | string[] | undefined): string | undefined {
  return value === undefined ? undefined : String(value);
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
  const failure = failureOf(res, status => status === UNAVAILABLE);
  if (failure) {
    listener.onFailed(failure);
    return;
  }
  const headers = forwardedHeaders(res.headers);
  listener.onProgress({
    status: res.statusCode,
    headers,
    body,
    framing: bodyFraming({
      method: call.method,
      status: res.statusCode,
      contentLength: textOf(res.headers['content-length']),
      transferEncoding: textOf(res.headers['transfer-encoding']),
    }),
  });
  listener.onFinished();
}

/**
 * Sends a call to a plain service and waits for its complete reply.
 *
 * Status 503 is a failure of the service; any other status is its answer, unless the
 * service states that it did not run the call.
 *
 * @param pool - connections to the service
 * @param call - method, path, headers and body
 * @param listener - receives the reply by one call of `onProgress`, then the end
 * @returns handle that cancels the attempt
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
