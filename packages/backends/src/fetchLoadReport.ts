import type { Pool } from 'undici';
import { z } from 'zod';
import type { LoadReport } from '@jujubecroft/decisions';

const REPORT_TIMEOUT_MS = 1000;
const OK = 200;

const reportSchema = z.object({
  takenAtMs: z.number(),
  running: z.number().nonnegative(),
  waiting: z.number().nonnegative(),
});

/**
 * Fetches the load report of a backend server.
 *
 * @param pool - connections to the server
 * @returns the report; null when there is none, which does not count as a failure
 */
export async function fetchLoadReport(pool: Pool): Promise<LoadReport | null> {
  try {
    const res = await pool.request({
      path: '/load',
      method: 'GET',
      headersTimeout: REPORT_TIMEOUT_MS,
      bodyTimeout: REPORT_TIMEOUT_MS,
    });
    const body = await res.body.json();
    return res.statusCode === OK ? reportSchema.parse(body) : null;
  } catch {
    return null;
  }
}
