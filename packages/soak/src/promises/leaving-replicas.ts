import type { SoakPromise } from './SoakPromise.js';

/** Leaving replicas get no new requests after a bounded time. */
export const leavingReplicas: SoakPromise = {
  name: 'leaving-replicas',
  description:
    'Once the store has acknowledged that a replica leaves, gateways in touch send it nothing after the drain time.',
  timed: true,
  check: ({ leaving, notes, bounds }, index) => {
    const got = notes.filter(note => note.type === 'got');
    return leaving.flatMap(({ replica, ackedMs, backMs }) => {
      const boundMs = ackedMs + bounds.drainMs + bounds.slackMs;
      return got
        .filter(note => note.replica === replica)
        .filter(({ atMs }) => atMs > boundMs && atMs <= backMs)
        .filter(({ id, atMs }) => {
          const gateway = index.sent(id)?.gateway;
          return (
            gateway !== undefined && index.isInTouch(gateway, ackedMs, atMs)
          );
        })
        .map(({ id, atMs }) => ({
          request: id,
          what: `reached ${replica} ${Math.round(atMs - ackedMs)} ms after it began to leave`,
        }));
    });
  },
};
