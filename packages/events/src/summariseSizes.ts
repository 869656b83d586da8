import { groupBy } from '@jujubecroft/types';

import type { RequestLines } from './requestLines.js';
import { numberOf, routeOf } from './requestLines.js';

/** Groups of a route's requests by prompt length: the longest 10 %, the next 20 %, the rest. */
export type SizeGroup = 'largestTenth' | 'nextFifth' | 'rest';

/** Outcomes of the requests of one route in one group of prompt lengths. */
export interface SizeSummary {
  readonly route: string;
  readonly part: SizeGroup;
  /** Length of the shortest prompt in the group, in tokens. */
  readonly fromTokens: number;
  /** Requests in the group. A caller's retry counts as a request of its own. */
  readonly requestCount: number;
  readonly answered: number;
  readonly refused: number;
  readonly cut: number;
  readonly left: number;
}

const TENTH = 0.1;
/** Share of the two groups with the longest prompts together. */
const THREE_TENTHS = 0.3;

function tokensOf({ placed, end }: RequestLines): number {
  return numberOf(placed, 'promptTokens') || numberOf(end, 'promptTokens');
}

function summarisePart(
  route: string,
  part: SizeGroup,
  requests: readonly RequestLines[],
): SizeSummary {
  const ended = (id: string): number =>
    requests.filter(({ end }) => end?.id === id).length;
  return {
    route,
    part,
    fromTokens: Math.min(...requests.map(tokensOf)),
    requestCount: requests.length,
    answered: requests.filter(({ answered }) => answered !== undefined).length,
    refused: ended('requestRefused'),
    cut: ended('requestCut'),
    left: ended('callerLeft'),
  };
}

/**
 * Summarises the outcomes of each route's requests by prompt length.
 *
 * The summary shows whether requests with long prompts are served less often.
 *
 * @param requests - requests of any number of routes
 * @returns up to three groups for each route whose requests have prompts
 */
export function summariseSizes(
  requests: readonly RequestLines[],
): readonly SizeSummary[] {
  const sized = requests.filter(request => tokensOf(request) > 0);
  return [...groupBy(sized, routeOf)].flatMap(([route, ofRoute]) => {
    const largestFirst = [...ofRoute].sort((a, b) => tokensOf(b) - tokensOf(a));
    const tenth = Math.ceil(TENTH * largestFirst.length);
    const threeTenths = Math.ceil(THREE_TENTHS * largestFirst.length);
    const parts: readonly (readonly [SizeGroup, readonly RequestLines[]])[] = [
      ['largestTenth', largestFirst.slice(0, tenth)],
      ['nextFifth', largestFirst.slice(tenth, threeTenths)],
      ['rest', largestFirst.slice(threeTenths)],
    ];
    return parts
      .filter(([, group]) => group.length > 0)
      .map(([part, group]) => summarisePart(route, part, group));
  });
}
