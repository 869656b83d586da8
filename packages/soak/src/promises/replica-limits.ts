import type { Evidence, GotNote, LimitNote } from '../evidence.js';
import type { EvidenceIndex } from './EvidenceIndex.js';
import type { Breach, SoakPromise } from './SoakPromise.js';

const WINDOW_MS = 4000;
const MS_PER_SECOND = 1000;
const TOLERANCE = 1.5;
const EXTRA = 5;
/** A gateway is bound so long after it has passed on an answer that names the limit. */
const TOLD_MS = 500;

/** When each gateway first passed on an answer of a limited replica. */
function toldAtMs(
  got: readonly GotNote[],
  { answers }: Evidence,
  index: EvidenceIndex,
): ReadonlyMap<number, number> {
  return got.reduce((told, { id }) => {
    const [gateway, answer] = [index.sent(id)?.gateway, answers.get(id)];
    if (gateway !== undefined && answer?.whole === true) {
      const known = told.get(gateway) ?? Infinity;
      told.set(gateway, Math.min(known, answer.endedMs));
    }
    return told;
  }, new Map<number, number>());
}

function breachesOf(
  { replica, atMs, perS }: LimitNote,
  evidence: Evidence,
  index: EvidenceIndex,
): readonly Breach[] {
  const { notes, bounds } = evidence;
  const end = notes.find(
    note =>
      note.type === 'limit' && note.replica === replica && note.atMs > atMs,
  );
  const got = notes
    .filter(note => note.type === 'got')
    .filter(note => note.replica === replica)
    .filter(note => note.atMs >= atMs && note.atMs < (end?.atMs ?? Infinity))
    .sort((a, b) => a.atMs - b.atMs);
  const told = toldAtMs(got, evidence, index);
  const bound = got.filter(note => {
    const gateway = index.sent(note.id)?.gateway ?? -1;
    return (
      note.atMs >= atMs + bounds.contactMs + bounds.slackMs &&
      note.atMs > (told.get(gateway) ?? Infinity) + TOLD_MS &&
      index.isInTouch(gateway, note.atMs, note.atMs)
    );
  });
  const allowed =
    (TOLERANCE * (perS ?? Infinity) * WINDOW_MS) / MS_PER_SECOND + EXTRA;
  return bound.flatMap(({ id, atMs: fromMs }) => {
    const count = bound.filter(
      other => other.atMs >= fromMs && other.atMs < fromMs + WINDOW_MS,
    ).length;
    return count > allowed
      ? [{ request: id, what: `${count} at ${replica} in four seconds` }]
      : [];
  });
}

/** A replica gets no more than the limit that it names for all gateways. */
export const replicaLimits: SoakPromise = {
  name: 'replica-limits',
  description:
    'A replica that names a limit gets half as much again and five at most, in any four seconds.',
  timed: true,
  check: (evidence, index) =>
    evidence.notes
      .filter(note => note.type === 'limit')
      .filter(({ perS }) => perS !== null)
      .flatMap(note => breachesOf(note, evidence, index)),
};
