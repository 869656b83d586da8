import { workOf } from '../workOf.js';
import { executionsWith, findLateExecutions } from './findLateExecutions.js';
import type { SoakInvariant } from './SoakInvariant.js';

/** Number of other requests from which the share of refused ones is compared. */
const MIN_OTHERS = 20;
const REFUSAL = 'crashesBackends';

function crashesByPart(body: string): boolean {
  const { crashes, parts = [] } = workOf(body);
  return crashes === true && parts.length > 0;
}

/** Requests with a prompt part that has crashed five replicas are no longer forwarded. */
export const crashingParts: SoakInvariant = {
  name: 'crashing-parts',
  description:
    'Requests with a prompt part that has crashed five replicas are executed at most three more times once the gateways have had time to learn of it.',
  timed: true,
  check: (evidence, index) =>
    findLateExecutions(
      evidence,
      index,
      executionsWith(evidence, crashesByPart),
      { maxCrashes: 5, maxLateExecutions: 3 },
    ).map(({ id, replica }) => ({
      request: id,
      what: `executed at ${replica} after five crashes by a part of its prompt`,
    })),
};

/** Requests that share all other parts with crashing ones go on being served. */
export const soundParts: SoakInvariant = {
  name: 'sound-parts',
  description:
    'Of the requests that share other prompt parts with those that crash replicas, less than half are refused for it.',
  timed: true,
  check: (evidence, index) => {
    const { bounds, sent, answers } = evidence;
    const [first] = executionsWith(evidence, crashesByPart);
    if (!first) {
      return [];
    }
    const fromMs = first.endsMs + 2 * bounds.faultFreeMs;
    const others = sent.filter(
      ({ sentMs, body, gateway }) =>
        sentMs > fromMs &&
        (workOf(body).parts ?? []).length > 0 &&
        !crashesByPart(body) &&
        index.isGatewayFaultFree(gateway, sentMs, sentMs),
    );
    const refused = others.filter(
      ({ id }) => answers.get(id)?.body.includes(REFUSAL) === true,
    );
    return others.length >= MIN_OTHERS && 2 * refused.length >= others.length
      ? refused.map(({ id }) => ({
          request: id,
          what: 'refused for crashes that its prompt did not cause',
        }))
      : [];
  },
};
