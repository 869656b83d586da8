import { workOf } from '../workOf.js';
import type { SoakPromise } from './SoakPromise.js';

const MAX_CRASHES = 3;
/** Repeats that may reach a replica later than that. */
const MAX_LATE = 3;

/** A request that crashed three replicas is not sent on. */
export const crashingRequests: SoakPromise = {
  name: 'crashing-requests',
  description:
    'A request that crashed three replicas reaches no more than three others later.',
  timed: true,
  check: ({ notes, bounds }, index) => {
    const runs = notes
      .filter(note => note.type === 'got')
      .filter(({ ran, body }) => ran && workOf(body).crashes === true)
      .sort((a, b) => a.atMs - b.atMs);
    const firsts = runs.filter(
      ({ replica }, place) =>
        runs.findIndex(other => other.replica === replica) === place,
    );
    const third = firsts[MAX_CRASHES - 1];
    if (!third) {
      return [];
    }
    const fromMs = third.endsMs + bounds.contactMs + bounds.slackMs;
    const late = runs.filter(({ id, atMs }) => {
      const gateway = index.sent(id)?.gateway;
      return (
        atMs > fromMs &&
        gateway !== undefined &&
        index.isInTouch(gateway, atMs, atMs)
      );
    });
    return late.length > MAX_LATE
      ? late.map(({ id, replica }) => ({
          request: id,
          what: `reached ${replica} after three crashes`,
        }))
      : [];
  },
};
