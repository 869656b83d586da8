import { request } from 'undici';
import { z } from 'zod';
import type { LoadStream } from '@jujubecroft/settings';

import type { CallerAnswer } from './CallerAnswer.js';
import {
  brokenAnswer,
  leftAnswer,
  refusedAnswer,
  wholeAnswer,
} from './CallerAnswer.js';
import { errorSchema } from './callChat.js';
import { callerHeaders } from './callerHeaders.js';

const OK = 200;

const echoSchema = z.object({ body: z.string().nullable() });

/** Parameters of one call to a plain service. */
export interface ServiceCall {
  readonly url: string;
  readonly stream: LoadStream;
  readonly service: string;
  readonly idempotencyKey: string;
  readonly body: string;
}

function isEchoOf(value: unknown, sent: string): boolean {
  const parsed = echoSchema.safeParse(value);
  return parsed.success && parsed.data.body === sent;
}

/**
 * Calls the echo endpoint of a plain service and checks the reply.
 *
 * @param call - address and content of the call
 * @returns the outcome as the caller saw it
 * @throws if no reply could be read, so another address may be tried
 */
export async function callService(call: ServiceCall): Promise<CallerAnswer> {
  const { stream } = call;
  const startedMs = performance.now();
  const timeout = AbortSignal.timeout(stream.patienceMs);
  try {
    const res = await request(`${call.url}/services/${call.service}/echo`, {
      method: 'POST',
      headers: {
        ...callerHeaders(stream),
        'content-type': 'text/plain',
        'idempotency-key': call.idempotencyKey,
      },
      body: call.body,
      signal: timeout,
    });
    const body = await res.body.json();
    const refusal = errorSchema.safeParse(body);
    if (refusal.success) {
      const { code, ran } = refusal.data.error;
      return refusedAnswer(code, ran, 0);
    }
    if (res.statusCode !== OK || !isEchoOf(body, call.body)) {
      return brokenAnswer('the reply does not echo the body of the call', 0);
    }
    return wholeAnswer(1, performance.now() - startedMs, 0);
  } catch (err) {
    if (timeout.aborted) {
      return leftAnswer(0);
    }
    throw err;
  }
}
