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

/** One call of a plain service. */
export interface ServiceCallSpec {
  readonly url: string;
  readonly stream: LoadStream;
  readonly service: string;
  readonly idempotencyKey: string;
  readonly body: string;
}

function echoed(value: unknown, sent: string): boolean {
  const parsed = echoSchema.safeParse(value);
  return parsed.success && parsed.data.body === sent;
}

/**
 * Calls a plain service as a caller would and checks the echo.
 *
 * @param call - where to and what
 * @returns what the caller experienced
 * @throws when the connection could not be made
 */
export async function callService(
  call: ServiceCallSpec,
): Promise<CallerAnswer> {
  const { stream } = call;
  const startedMs = performance.now();
  const patience = AbortSignal.timeout(stream.patienceMs);
  try {
    const res = await request(`${call.url}/services/${call.service}/echo`, {
      method: 'POST',
      headers: {
        ...callerHeaders(stream),
        'content-type': 'text/plain',
        'idempotency-key': call.idempotencyKey,
      },
      body: call.body,
      signal: patience,
    });
    const body = await res.body.json();
    const refusal = errorSchema.safeParse(body);
    if (refusal.success) {
      const { code, ran } = refusal.data.error;
      return refusedAnswer(code, ran, 0);
    }
    if (res.statusCode !== OK || !echoed(body, call.body)) {
      return brokenAnswer('the reply is not the echo of this call', 0);
    }
    return wholeAnswer(1, performance.now() - startedMs, 0);
  } catch (err) {
    if (patience.aborted) {
      return leftAnswer(0);
    }
    throw err;
  }
}
