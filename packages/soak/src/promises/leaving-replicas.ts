import type { SoakInvariant } from './SoakInvariant.js';

/** A leaving replica gets no new requests after a bounded time. */
export const leavingReplicas: SoakInvariant = {
  name: 'leaving-replicas',
  description:
    'Gateways without faults send nothing to a leaving replica once the drain time has passed since the store acknowledged that it leaves.',
  timed: true,
  check: ({ leaving, notes, bounds }, index) => {
    const received = notes.filter(note => note.type === 'got');
    return leaving.flatMap(({ replica, ackedMs, returnedMs }) => {
      const deadlineMs = ackedMs + bounds.drainMs + bounds.slackMs;
      return received
        .filter(note => note.replica === replica)
        .filter(({ atMs }) => atMs > deadlineMs && atMs <= returnedMs)
        .filter(({ id, atMs }) => {
          const gateway = index.sent(id)?.gateway;
          return (
            gateway !== undefined &&
            index.isGatewayFaultFree(gateway, ackedMs, atMs)
          );
        })
        .map(({ id, atMs }) => ({
          request: id,
          what: `reached ${replica} ${Math.round(atMs - ackedMs)} ms after it began to leave`,
        }));
    });
  },
};
