import type { ServerResponse } from 'node:http';

/** Heads after a run whose status or headers state that the request was not run. */
const CONTRADICTING_HEADS: readonly {
  readonly status: number;
  readonly statesNotRun: boolean;
}[] = [
  { status: 408, statesNotRun: false },
  { status: 429, statesNotRun: false },
  { status: 503, statesNotRun: false },
  { status: 421, statesNotRun: false },
  { status: 421, statesNotRun: true },
  { status: 429, statesNotRun: true },
  { status: 503, statesNotRun: true },
];

/**
 * Responds to a request that ran with a head that contradicts this.
 *
 * @param res - the response
 * @param headers - headers of a response to the request, with the stamp of its execution
 * @param notRunHeaders - headers of a rejection of the request
 * @param random - selects the head; returns a number from 0 to 1
 */
export function sendContradictingHead(
  res: ServerResponse,
  headers: Readonly<Record<string, string>>,
  notRunHeaders: Readonly<Record<string, string>>,
  random: () => number,
): void {
  const head =
    CONTRADICTING_HEADS[Math.floor(random() * CONTRADICTING_HEADS.length)];
  if (head) {
    const stated = head.statesNotRun ? notRunHeaders : {};
    res.writeHead(head.status, { ...headers, ...stated });
    res.end('failed');
  }
}
