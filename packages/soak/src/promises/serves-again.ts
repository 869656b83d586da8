import type { SoakPromise } from './SoakPromise.js';

/** Time after the last fault until the system must serve as before. */
const RECOVERY_MS = 5000;
const SERVED_SHARE = 0.9;
const MIN_COUNTED = 20;
const OK = 200;

/** The system repairs itself once faults are over. */
export const servesAgain: SoakPromise = {
  name: 'serves-again',
  description:
    'Some seconds after the last fault nine in ten requests are served whole.',
  timed: true,
  check: ({ sent, answers, calmFromMs, endMs }) => {
    const fromMs = calmFromMs + RECOVERY_MS;
    // Callers finish what they have asked for when the run ends.
    const counted = sent.filter(({ id, kind, sentMs }) => {
      const answer = answers.get(id);
      return (
        kind !== 'probe' &&
        sentMs >= fromMs &&
        sentMs <= endMs &&
        answer?.leftMs === null
      );
    });
    const missed = counted.filter(({ id }) => {
      const answer = answers.get(id);
      return answer?.status !== OK || !answer.whole;
    });
    const tooMany =
      counted.length < MIN_COUNTED ||
      missed.length > (1 - SERVED_SHARE) * counted.length;
    return tooMany
      ? [
          {
            request: missed[0]?.id ?? null,
            what: `${missed.length} of ${counted.length} requests not served after the last fault`,
          },
        ]
      : [];
  },
};
