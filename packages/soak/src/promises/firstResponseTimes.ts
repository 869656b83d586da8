import type { Evidence, ReceivedNote } from '../evidence.js';
import type { EvidenceIndex } from './EvidenceIndex.js';

/**
 * Returns when each gateway first passed on a response to one of some requests.
 *
 * @param received - the requests, as replicas received them
 * @param evidence - all observations of the run
 * @param index - index of the observations
 * @returns times by gateway, in milliseconds
 */
export function firstResponseTimes(
  received: readonly ReceivedNote[],
  { answers }: Evidence,
  index: EvidenceIndex,
): ReadonlyMap<number, number> {
  return received.reduce((firstMs, { id }) => {
    const [gateway, answer] = [index.sent(id)?.gateway, answers.get(id)];
    if (gateway !== undefined && answer?.whole === true) {
      const previousMs = firstMs.get(gateway) ?? Infinity;
      firstMs.set(gateway, Math.min(previousMs, answer.endedMs));
    }
    return firstMs;
  }, new Map<number, number>());
}
