import type { SoakInvariant } from './SoakInvariant.js';

/** Time after the last fault within which the system must have recovered. */
const RECOVERY_MS = 5000;
const MIN_SERVED_SHARE = 0.9;
const MIN_REQUESTS = 20;
const HTTP_OK = 200;

/** The system recovers once there are no more faults. */
export const servesAgain: SoakInvariant = {
  name: 'serves-again',
  description:
    'From five seconds after the last fault, at least 90 % of requests get a complete response.',
  timed: true,
  check: ({ sent, answers, cooldownFromMs, endMs }) => {
    const fromMs = cooldownFromMs + RECOVERY_MS;
    // Callers wait for their last response at the end of the run, so requests sent
    // shortly before the end count too.
    const counted = sent.filter(({ id, kind, sentMs }) => {
      const answer = answers.get(id);
      return (
        kind !== 'probe' &&
        sentMs >= fromMs &&
        sentMs <= endMs &&
        answer?.leftMs === null
      );
    });
    const unserved = counted.filter(({ id }) => {
      const answer = answers.get(id);
      return answer?.status !== HTTP_OK || !answer.whole;
    });
    const tooMany =
      counted.length < MIN_REQUESTS ||
      unserved.length > (1 - MIN_SERVED_SHARE) * counted.length;
    return tooMany
      ? [
          {
            request: unserved[0]?.id ?? null,
            what: `${unserved.length} of ${counted.length} requests not served after the last fault`,
          },
        ]
      : [];
  },
};
