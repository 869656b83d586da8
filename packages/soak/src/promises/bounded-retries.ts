import type { Evidence, ReceivedNote } from '../evidence.js';
import type { EvidenceIndex } from './EvidenceIndex.js';
import type { SoakInvariant, Violation } from './SoakInvariant.js';

/** A request that reached a replica. */
interface Arrival {
  readonly atMs: number;
  /** Whether the request had reached a replica of the service before. */
  readonly isRetry: boolean;
}

/** Returns the arrivals at one service by time, marking all but the first of a request. */
function arrivalsOf(notes: readonly ReceivedNote[]): readonly Arrival[] {
  const seen = new Set<string>();
  return [...notes]
    .sort((a, b) => a.atMs - b.atMs)
    .map(({ id, atMs }) => {
      const isRetry = seen.has(id);
      seen.add(id);
      return { atMs, isRetry };
    });
}

/** Counts the times after `fromMs` and up to `toMs`. */
function countIn(
  times: readonly number[],
  fromMs: number,
  toMs: number,
): number {
  return times.filter(time => time > fromMs && time <= toMs).length;
}

function violationsOf(
  service: string,
  notes: readonly ReceivedNote[],
  { bounds }: Evidence,
  index: EvidenceIndex,
): readonly Violation[] {
  const retries = arrivalsOf(notes).filter(({ isRetry }) => isRetry);
  const retryTimes = retries.map(({ atMs }) => atMs);
  const sentTimes = [...new Set(notes.map(({ id }) => id))].flatMap(
    id => index.sent(id)?.sentMs ?? [],
  );
  const exceeded = retryTimes
    .map(toMs => {
      const fromMs = toMs - bounds.retryWindowMs;
      // Largest number of requests sent in a window that ends at the retry, or half a
      // window or a whole window before it.
      const requests = Math.max(
        ...[0, 0.5, 1].map(shift =>
          countIn(
            sentTimes,
            fromMs - shift * bounds.retryWindowMs,
            toMs - shift * bounds.retryWindowMs,
          ),
        ),
      );
      const allowed = bounds.retryRatio * requests + bounds.retryExtra;
      return { retries: countIn(retryTimes, fromMs, toMs), allowed };
    })
    .find(window => window.retries > window.allowed);
  return exceeded
    ? [
        {
          request: null,
          what: `${service}: ${exceeded.retries} retries in a window that allows ${exceeded.allowed.toFixed(1)}`,
        },
      ]
    : [];
}

/** Retries over all gateways stay within the shared retry budget. */
export const boundedRetries: SoakInvariant = {
  name: 'bounded-retries',
  description:
    'In any window, the retries to a service do not exceed the retry ratio of its requests plus the extra retries.',
  timed: true,
  check: (evidence, index) => {
    const received = evidence.notes.filter(note => note.type === 'got');
    const services = [...new Set(received.map(({ service }) => service))];
    return services.flatMap(service =>
      violationsOf(
        service,
        received.filter(note => note.service === service),
        evidence,
        index,
      ),
    );
  },
};
