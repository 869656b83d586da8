import { groupBy } from '@jujubecroft/types';

import type { SoakInvariant } from './SoakInvariant.js';

/** A leaving replica gets no new requests after a bounded time. */
export const leavingReplicas: SoakInvariant = {
  name: 'leaving-replicas',
  description:
    'Gateways without recent faults send nothing to a leaving replica once the drain time has passed since the store, also without recent faults, acknowledged that it leaves. Faults between the two times excuse nothing.',
  timed: true,
  check: ({ leaving, notes, bounds }, index) => {
    const received = notes.filter(note => note.type === 'got');
    const byReplica = groupBy(received, ({ replica }) => replica);
    const judged = leaving.filter(({ ackedMs }) =>
      index.isStoreStable(ackedMs),
    );
    return judged.flatMap(({ replica, ackedMs, returnedMs }) => {
      const deadlineMs = ackedMs + bounds.drainMs + bounds.slackMs;
      return (byReplica.get(replica) ?? [])
        .filter(({ atMs }) => atMs > deadlineMs && atMs <= returnedMs)
        .filter(({ id, atMs }) => {
          const gateway = index.sent(id)?.gateway;
          return gateway !== undefined && index.isInTouch(gateway, atMs);
        })
        .map(({ id, atMs }) => ({
          request: id,
          what: `reached ${replica} ${Math.round(atMs - ackedMs)} ms after it began to leave`,
        }));
    });
  },
};
