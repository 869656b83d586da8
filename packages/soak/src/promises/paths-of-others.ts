import { groupBy } from '@jujubecroft/types';

import type { InjectedFault, SentRequest } from '../evidence.js';
import type { SoakInvariant } from './SoakInvariant.js';

const HTTP_OK = 200;
/** Share of the other gateways' share that has to be served. */
const MIN_RELATIVE_SHARE = 2 / 3;
/** Failures that are allowed in any case, and their share of all requests. */
const ALLOWED_FAILURES = 10;
const ALLOWED_FAILURE_SHARE = 1 / 50;

/** Length of the spans in which gateways are compared. */
const SPAN_MS = 1000;

/** Key of the span in which a request was sent. */
const spanOf = (sentMs: number): string => String(Math.floor(sentMs / SPAN_MS));

/** Whether a gateway was without paths for long enough when a request was sent. */
function isAffected(
  { gateway, sentMs }: SentRequest,
  cuts: readonly InjectedFault[],
  faultFreeMs: number,
): boolean {
  return cuts.some(
    ({ target, fromMs, toMs }) =>
      target.index === gateway &&
      sentMs >= fromMs + faultFreeMs &&
      sentMs <= toMs,
  );
}

/** Share of some requests that were served; null for none. */
function servedShare(
  requests: readonly SentRequest[],
  isServed: (request: SentRequest) => boolean,
): number | null {
  return requests.length > 0
    ? requests.filter(isServed).length / requests.length
    : null;
}

/**
 * Gateways without a path to any replica serve their callers through others.
 *
 * Gateways are compared second by second: when replicas crash, all gateways
 * fail together.
 */
export const pathsOfOthers: SoakInvariant = {
  name: 'paths-of-others',
  description:
    'While gateways have no path to any replica, requests at them are served at least two thirds as often as at the others, or few fail.',
  timed: true,
  check: ({ sent, answers, faults, bounds }, index) => {
    const cuts = faults.filter(({ kind }) => kind === 'gateway-loses-paths');
    const counted = sent.filter(
      ({ id, kind, sentMs }) =>
        kind !== 'probe' &&
        answers.get(id)?.leftMs === null &&
        cuts.some(
          ({ fromMs, toMs }) =>
            sentMs >= fromMs + bounds.faultFreeMs && sentMs <= toMs,
        ),
    );
    const isServed = ({ id }: SentRequest): boolean => {
      const answer = answers.get(id);
      return answer?.status === HTTP_OK && answer.whole;
    };
    const affected = counted.filter(
      request =>
        isAffected(request, cuts, bounds.faultFreeMs) &&
        index.isInTouch(request.gateway, request.sentMs),
    );
    const others = counted.filter(request => !isAffected(request, cuts, 0));
    const othersBySpan = groupBy(others, ({ sentMs }) => spanOf(sentMs));
    const expected = affected.reduce((sum, { sentMs }) => {
      const alike = othersBySpan.get(spanOf(sentMs)) ?? [];
      return sum + (servedShare(alike, isServed) ?? 0);
    }, 0);
    const served = affected.filter(isServed).length;
    const failed = affected.length - served;
    const isWorse =
      served < MIN_RELATIVE_SHARE * expected &&
      failed > ALLOWED_FAILURES + ALLOWED_FAILURE_SHARE * counted.length;
    return isWorse
      ? [
          {
            request: affected.find(request => !isServed(request))?.id ?? null,
            what: `${served} of ${affected.length} requests served at gateways without paths, ${Math.round(expected)} at the rate of the others`,
          },
        ]
      : [];
  },
};
