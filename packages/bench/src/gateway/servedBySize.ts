import type { ReplayedRequest } from './UrgencyWatch.js';

/** Shares of one kind's requests that were served, by prompt length. */
export interface ServedBySize {
  readonly kind: string;
  readonly all: number;
  readonly largestTenth: number;
  /** The next largest fifth below the largest tenth. */
  readonly nextFifth: number;
}

const TENTH = 0.1;
const THREE_TENTHS = 0.3;

function servedShare(requests: readonly ReplayedRequest[]): number {
  const served = requests.filter(({ isServed }) => isServed);
  return requests.length > 0 ? served.length / requests.length : 0;
}

/**
 * Computes the share of served requests of a kind: of all, and of the largest.
 *
 * Requests whose instance stopped are left out.
 *
 * @param kind - id of the route of the kind
 * @param requests - requests of all kinds, all of them ended
 */
export function servedBySize(
  kind: string,
  requests: readonly ReplayedRequest[],
): ServedBySize {
  const largestFirst = requests
    .filter(
      ({ kind: { route }, isExcluded }) => route.id === kind && !isExcluded,
    )
    .sort((a, b) => b.promptTokens - a.promptTokens);
  const tenth = Math.round(TENTH * largestFirst.length);
  const threeTenths = Math.round(THREE_TENTHS * largestFirst.length);
  return {
    kind,
    all: servedShare(largestFirst),
    largestTenth: servedShare(largestFirst.slice(0, tenth)),
    nextFifth: servedShare(largestFirst.slice(tenth, threeTenths)),
  };
}
