import type { Evidence, GotNote } from '../evidence.js';
import type { EvidenceIndex } from './EvidenceIndex.js';
import type { Breach, SoakPromise } from './SoakPromise.js';

interface Arrival {
  readonly atMs: number;
  readonly isRepeat: boolean;
}

/** Arrivals of one service in order, with those beyond the first of a request marked. */
function arrivalsOf(notes: readonly GotNote[]): readonly Arrival[] {
  const seen = new Set<string>();
  return [...notes]
    .sort((a, b) => a.atMs - b.atMs)
    .map(({ id, atMs }) => {
      const isRepeat = seen.has(id);
      seen.add(id);
      return { atMs, isRepeat };
    });
}

function countIn(
  times: readonly number[],
  fromMs: number,
  toMs: number,
): number {
  return times.filter(time => time > fromMs && time <= toMs).length;
}

function breachesOf(
  service: string,
  notes: readonly GotNote[],
  { bounds }: Evidence,
  index: EvidenceIndex,
): readonly Breach[] {
  const repeats = arrivalsOf(notes).filter(({ isRepeat }) => isRepeat);
  const times = repeats.map(({ atMs }) => atMs);
  const asked = [...new Set(notes.map(({ id }) => id))].flatMap(
    id => index.sent(id)?.sentMs ?? [],
  );
  const worst = times
    .map(toMs => {
      const fromMs = toMs - bounds.retryWindowMs;
      const requests = Math.max(
        ...[0, 0.5, 1].map(part =>
          countIn(
            asked,
            fromMs - part * bounds.retryWindowMs,
            toMs - part * bounds.retryWindowMs,
          ),
        ),
      );
      const allowed = bounds.retryRatio * requests + bounds.retryExtra;
      return { repeats: countIn(times, fromMs, toMs), allowed };
    })
    .find(window => window.repeats > window.allowed);
  return worst
    ? [
        {
          request: null,
          what: `${service}: ${worst.repeats} repeats in a window that allows ${worst.allowed.toFixed(1)}`,
        },
      ]
    : [];
}

/** Repeats over all gateways stay within the shared budget. */
export const boundedRetries: SoakPromise = {
  name: 'bounded-retries',
  description:
    'In any window a service gets no more repeats than its share of requests and the extra allow.',
  timed: true,
  check: (evidence, index) => {
    const got = evidence.notes.filter(note => note.type === 'got');
    const services = [...new Set(got.map(({ service }) => service))];
    return services.flatMap(service =>
      breachesOf(
        service,
        got.filter(note => note.service === service),
        evidence,
        index,
      ),
    );
  },
};
