import type { EvidenceIndex } from './EvidenceIndex.js';
import type { SoakInvariant } from './SoakInvariant.js';

/** Time after a refusal in which requests that were under way may still arrive. */
const IN_TRANSIT_MS = 500;
/** Requests that a gateway may send in the rest of the pause. */
const ALLOWED_REQUESTS = 2;

/** Whether a gateway was restarted, paused or cut off in a span of time. */
function isExcused(
  index: EvidenceIndex,
  gateway: number,
  fromMs: number,
  toMs: number,
): boolean {
  const cuts = index.faultsIn(
    (target, { kind }) =>
      kind === 'gateway-cut' &&
      target.component === 'gateway' &&
      (target.index === null || target.index === gateway),
    fromMs,
    toMs,
  );
  return cuts.length > 0 || index.wasInterrupted(gateway, fromMs, toMs);
}

/** A gateway leaves a replica alone in a pause that the replica requested from it. */
export const requestedPauses: SoakInvariant = {
  name: 'requested-pauses',
  description:
    'A gateway sends at most two requests to a replica between half a second after a refusal with a requested pause and the end of the pause.',
  timed: true,
  check: ({ notes, bounds }, index) => {
    const received = notes.filter(note => note.type === 'got');
    return received.flatMap(({ id, replica, atMs, pauseMs }) => {
      const gateway = index.sent(id)?.gateway;
      if (pauseMs === null || gateway === undefined) {
        return [];
      }
      const endMs = atMs + pauseMs;
      const inPause = received.filter(
        other =>
          other.replica === replica &&
          other.atMs > atMs + IN_TRANSIT_MS + bounds.slackMs &&
          other.atMs < endMs &&
          index.sent(other.id)?.gateway === gateway,
      );
      return inPause.length > ALLOWED_REQUESTS &&
        !isExcused(index, gateway, atMs, endMs)
        ? [
            {
              request: id,
              what: `${inPause.length} requests of gateway ${gateway} reached ${replica} in a pause of ${Math.round(pauseMs)} ms`,
            },
          ]
        : [];
    });
  },
};
