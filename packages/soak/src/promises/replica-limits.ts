import type { Evidence, LimitNote } from '../evidence.js';
import type { EvidenceIndex } from './EvidenceIndex.js';
import { firstResponseTimes } from './firstResponseTimes.js';
import type { SoakInvariant, Violation } from './SoakInvariant.js';

const WINDOW_MS = 4000;
const MS_PER_SECOND = 1000;
/** Factor of the rate limit that is tolerated. */
const ALLOWED_FACTOR = 1.5;
/** Requests tolerated in a window regardless of the rate limit. */
const ALLOWED_EXTRA = 5;
/**
 * Time after which a limit applies to a gateway, from when it first passed on a
 * response of the limited replica.
 */
const LIMIT_KNOWN_MS = 500;

function violationsOf(
  { replica, atMs, perS }: LimitNote,
  evidence: Evidence,
  index: EvidenceIndex,
): readonly Violation[] {
  const { notes, bounds } = evidence;
  const next = notes.find(
    note =>
      note.type === 'limit' && note.replica === replica && note.atMs > atMs,
  );
  const received = notes
    .filter(note => note.type === 'got')
    .filter(note => note.replica === replica)
    .filter(note => note.atMs >= atMs && note.atMs < (next?.atMs ?? Infinity))
    .sort((a, b) => a.atMs - b.atMs);
  const seenMs = firstResponseTimes(received, evidence, index);
  const counted = received.filter(note => {
    const gateway = index.sent(note.id)?.gateway ?? -1;
    return (
      note.atMs >= atMs + bounds.faultFreeMs + bounds.slackMs &&
      note.atMs > (seenMs.get(gateway) ?? Infinity) + LIMIT_KNOWN_MS &&
      index.isGatewayFaultFree(gateway, note.atMs, note.atMs)
    );
  });
  const allowed =
    (ALLOWED_FACTOR * (perS ?? Infinity) * WINDOW_MS) / MS_PER_SECOND +
    ALLOWED_EXTRA;
  return counted.flatMap(({ id, atMs: fromMs }) => {
    const count = counted.filter(
      other => other.atMs >= fromMs && other.atMs < fromMs + WINDOW_MS,
    ).length;
    return count > allowed
      ? [
          {
            request: id,
            what: `${count} requests at ${replica} in four seconds`,
          },
        ]
      : [];
  });
}

/** A replica gets no more requests than its rate limit over all gateways allows. */
export const replicaLimits: SoakInvariant = {
  name: 'replica-limits',
  description:
    'In any four seconds, a replica with a rate limit gets at most 1.5 times its limit plus five requests.',
  timed: true,
  check: (evidence, index) =>
    evidence.notes
      .filter(note => note.type === 'limit')
      .filter(({ perS }) => perS !== null)
      .flatMap(note => violationsOf(note, evidence, index)),
};
