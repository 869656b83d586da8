import type { Evidence, InjectedFault, SentRequest } from '../evidence.js';
import type { EvidenceIndex } from './EvidenceIndex.js';
import type { SoakInvariant } from './SoakInvariant.js';

const HTTP_OK = 200;
/** Share of the other gateways' share that has to be served. */
const MIN_RELATIVE_SHARE = 2 / 3;
/** Failures that are allowed in any case, and their share of all requests. */
const ALLOWED_FAILURES = 10;
const ALLOWED_FAILURE_SHARE = 1 / 50;

/** Whether a request was sent to a gateway that was without paths for long enough. */
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

/** Returns the requests that callers sent while gateways were without paths. */
function countedRequests(
  { sent, answers, bounds }: Evidence,
  index: EvidenceIndex,
  cuts: readonly InjectedFault[],
): readonly SentRequest[] {
  return sent.filter(
    ({ id, kind, sentMs, gateway }) =>
      kind !== 'probe' &&
      answers.get(id)?.leftMs === null &&
      index.isInTouch(gateway, sentMs) &&
      cuts.some(
        ({ fromMs, toMs }) =>
          sentMs >= fromMs + bounds.faultFreeMs && sentMs <= toMs,
      ),
  );
}

/** Gateways without a path to any replica serve their callers through others. */
export const pathsOfOthers: SoakInvariant = {
  name: 'paths-of-others',
  description:
    'While gateways have no path to any replica, requests at them are served at least two thirds as often as at the others, or few fail.',
  timed: true,
  check: (evidence, index) => {
    const cuts = evidence.faults.filter(
      ({ kind }) => kind === 'gateway-loses-paths',
    );
    const counted = countedRequests(evidence, index, cuts);
    const isServed = ({ id }: SentRequest): boolean => {
      const answer = evidence.answers.get(id);
      return answer?.status === HTTP_OK && answer.whole;
    };
    const affected = counted.filter(request =>
      isAffected(request, cuts, evidence.bounds.faultFreeMs),
    );
    const others = counted.filter(request => !affected.includes(request));
    const served = affected.filter(isServed).length;
    const failed = affected.length - served;
    const othersShare =
      others.length > 0 ? others.filter(isServed).length / others.length : 0;
    const isWorse =
      served < MIN_RELATIVE_SHARE * othersShare * affected.length &&
      failed > ALLOWED_FAILURES + ALLOWED_FAILURE_SHARE * counted.length;
    return isWorse
      ? [
          {
            request: affected.find(request => !isServed(request))?.id ?? null,
            what: `${served} of ${affected.length} requests served at gateways without paths, ${Math.round(100 * othersShare)} % of ${others.length} at the others`,
          },
        ]
      : [];
  },
};
