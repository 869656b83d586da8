import type { ReportedLoad } from '@jujubecroft/decisions';

import { parseCount, parseSlowdown } from './headerNumbers.js';

/** Number of counts at the start of a load report. */
const LOAD_COUNTS = 3;

/**
 * Parses the load of a backend server, written as `running,waiting,slots,slowdown`.
 *
 * @param text - value of a header; the slots and the slowdown may be missing, and an
 *   unreadable slowdown leaves the rest valid
 * @returns the load; null without valid counts
 */
export function parseReportedLoad(
  text: string | undefined,
): ReportedLoad | null {
  const fields = (text ?? '').split(',');
  const [running = null, waiting = null, slots] = fields
    .slice(0, LOAD_COUNTS)
    .map(parseCount);
  if (running === null || waiting === null) {
    return null;
  }
  const load = { running, waiting, slots: slots ?? 0 };
  const slowdown = parseSlowdown(fields[LOAD_COUNTS]);
  return slowdown === null ? load : { ...load, slowdown };
}
