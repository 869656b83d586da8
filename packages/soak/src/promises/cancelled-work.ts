import type { SoakInvariant } from './SoakInvariant.js';

/** Time within which a replica must be told that the caller has aborted. */
const CANCELLATION_MS = 500;
/** Share of aborted requests that may continue, since a close may cross a response. */
const ALLOWED_SHARE = 0.25;
const MIN_ABANDONED = 8;

/** Replicas stop working on requests that the caller has aborted. */
export const cancelledWork: SoakInvariant = {
  name: 'cancelled-work',
  description:
    'In most cases a replica stops within half a second after the caller aborts a repeatable request.',
  timed: true,
  check: ({ sent, answers, bounds }, index) => {
    const boundMs = CANCELLATION_MS + bounds.slackMs;
    const abandoned = sent
      .filter(({ kind }) => kind !== 'unsafe' && kind !== 'stream')
      .flatMap(({ id, gateway }) => {
        const leftMs = answers.get(id)?.leftMs ?? null;
        const run = index.executionsOf(id).at(-1);
        const isCounted =
          leftMs !== null &&
          run !== undefined &&
          run.endsMs > leftMs + 2 * boundMs &&
          index.isGatewayFaultFree(gateway, leftMs, leftMs + boundMs) &&
          index.faultsIn(
            ({ component }) => component === 'replica',
            leftMs - bounds.faultFreeMs,
            leftMs + boundMs,
          ).length === 0;
        return isCounted ? [{ id, leftMs, run }] : [];
      });
    const uncancelled = abandoned.filter(({ id, leftMs, run }) => {
      const closed = index
        .closedNotesOf(id)
        .find(({ replica }) => replica === run.replica);
      return closed === undefined || closed.atMs > leftMs + boundMs;
    });
    const tooMany =
      abandoned.length >= MIN_ABANDONED &&
      uncancelled.length > ALLOWED_SHARE * abandoned.length;
    return tooMany
      ? uncancelled.map(({ id }) => ({
          request: id,
          what: `execution continued after the caller aborted; ${uncancelled.length} of ${abandoned.length}`,
        }))
      : [];
  },
};
