/** Number of ranks that replicas distinguish; rank 0 is served first. */
export const RANKS = 10;

/** Urgency of a request among those of the same priority. */
export type Urgency = 'deferred' | 'new' | 'resumed';

/**
 * Rank offsets among requests of one priority, by the number of ranks that the
 * priority has.
 */
const RANK_OFFSETS: readonly Readonly<Record<Urgency, number>>[] = [
  { resumed: 0, new: 0, deferred: 0 },
  { resumed: 0, new: 0, deferred: 0 },
  { resumed: 0, new: 0, deferred: 1 },
  { resumed: 0, new: 1, deferred: 2 },
];

/**
 * Computes the rank at which a replica serves a request.
 *
 * In a burst, a queue that is served in order of arrival makes every request
 * late. A request that is late anyway is therefore served after those of the
 * same priority that can still be on time, but never after a less urgent one. A
 * stream that is resumed after its replica was lost comes first, since its
 * caller waits for the next event, not for the first. Ranks are distributed
 * evenly over the priorities. With many priorities, some have too few ranks for
 * these differences; with more than ten, neighbouring priorities share a rank.
 *
 * @param priority - position of the request in the priority order, 0 first
 * @param urgency - urgency of the request among those of its priority
 * @param priorities - number of priorities of the service's requests
 * @returns a rank from 0 to 9
 */
export function serviceRank(
  priority: number,
  urgency: Urgency,
  priorities: number,
): number {
  const firstRankOf = (place: number): number =>
    Math.floor((RANKS * place) / Math.max(1, priorities));
  const firstRank = firstRankOf(priority);
  const rankCount = Math.min(
    RANK_OFFSETS.length - 1,
    firstRankOf(priority + 1) - firstRank,
  );
  return Math.min(
    RANKS - 1,
    firstRank + (RANK_OFFSETS[rankCount]?.[urgency] ?? 0),
  );
}
