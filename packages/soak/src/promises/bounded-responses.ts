import type { SoakInvariant } from './SoakInvariant.js';

/** Time within which the connection of a response without end is closed. */
const CLOSE_MS = 1000;
const ENDLESS_KIND = 'replica-never-ends';

/** A response that never ends is not read up to the time limit of its request. */
export const boundedResponses: SoakInvariant = {
  name: 'bounded-responses',
  description:
    'The connection of a response without end is closed within a second.',
  timed: true,
  check: ({ notes, bounds }, index) =>
    notes.flatMap(note => {
      if (note.type !== 'endless') {
        return [];
      }
      const { id, replica, fromMs, atMs } = note;
      const sent = index.sent(id);
      const isCounted =
        sent !== undefined &&
        index.isGatewayFaultFree(sent.gateway, fromMs, atMs) &&
        index.faultsIn(
          ({ component }, { kind }) =>
            component === 'replica' && kind !== ENDLESS_KIND,
          fromMs - bounds.faultFreeMs,
          atMs,
        ).length === 0;
      const tookMs = Math.round(atMs - fromMs);
      return isCounted && tookMs > CLOSE_MS + bounds.slackMs
        ? [
            {
              request: id,
              what: `${replica} sent a response without end for ${tookMs} ms`,
            },
          ]
        : [];
    }),
};
