import { firstResponseTimes } from './firstResponseTimes.js';
import type { SoakInvariant } from './SoakInvariant.js';

/** A replica gets nothing from a gateway that has passed on its announced leave. */
export const announcedLeaves: SoakInvariant = {
  name: 'announced-leaves',
  description:
    'A gateway sends nothing to a replica once the drain time has passed since it passed on a response that announced the leave.',
  timed: true,
  check: (evidence, index) => {
    const { notes, bounds, answers } = evidence;
    const received = notes.filter(note => note.type === 'got');
    return notes
      .filter(note => note.type === 'leaving')
      .flatMap(({ replica, atMs: leftMs }) => {
        const later = received.filter(
          note => note.replica === replica && note.atMs > leftMs,
        );
        const executed = later.filter(
          ({ id, ran }) =>
            ran && (answers.get(id)?.stamp ?? '').startsWith(`${replica}/`),
        );
        const informedMs = firstResponseTimes(executed, evidence, index);
        return later.flatMap(({ id, atMs }) => {
          const gateway = index.sent(id)?.gateway ?? -1;
          const sinceMs = informedMs.get(gateway) ?? Infinity;
          return atMs > sinceMs + bounds.drainMs + bounds.slackMs &&
            !index.wasInterrupted(gateway, sinceMs, atMs)
            ? [
                {
                  request: id,
                  what: `reached ${replica} ${Math.round(atMs - sinceMs)} ms after gateway ${gateway} passed on its leave`,
                },
              ]
            : [];
        });
      });
  },
};
