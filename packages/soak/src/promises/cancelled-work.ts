import type { SoakPromise } from './SoakPromise.js';

/** Time in which a replica learns that its caller left. */
const CANCEL_MS = 500;
/** Share of the abandoned requests that may go on; closes cross answers. */
const ALLOWED_SHARE = 0.25;
const MIN_COUNTED = 8;

/** Replicas stop working for callers that left. */
export const cancelledWork: SoakPromise = {
  name: 'cancelled-work',
  description:
    'Most replicas stop within half a second when the caller of a repeatable request leaves.',
  timed: true,
  check: ({ sent, answers, bounds }, index) => {
    const boundMs = CANCEL_MS + bounds.slackMs;
    const counted = sent
      .filter(({ kind }) => kind !== 'unsafe' && kind !== 'stream')
      .flatMap(({ id, gateway }) => {
        const leftMs = answers.get(id)?.leftMs ?? null;
        const run = index.runsOf(id).at(-1);
        const counts =
          leftMs !== null &&
          run !== undefined &&
          run.endsMs > leftMs + 2 * boundMs &&
          index.isInTouch(gateway, leftMs, leftMs + boundMs) &&
          index.faultsIn(
            ({ what }) => what === 'replica',
            leftMs - bounds.contactMs,
            leftMs + boundMs,
          ).length === 0;
        return counts ? [{ id, leftMs, run }] : [];
      });
    const goingOn = counted.filter(({ id, leftMs, run }) => {
      const closed = index
        .closesOf(id)
        .find(({ replica }) => replica === run.replica);
      return closed === undefined || closed.atMs > leftMs + boundMs;
    });
    const tooMany =
      counted.length >= MIN_COUNTED &&
      goingOn.length > ALLOWED_SHARE * counted.length;
    return tooMany
      ? goingOn.map(({ id }) => ({
          request: id,
          what: `worked on for a caller that left; ${goingOn.length} of ${counted.length}`,
        }))
      : [];
  },
};
