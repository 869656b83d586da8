/** Ranks that replicas know; 0 is served first. */
export const RANKS = 10;

/** How pressing a request is among those of its priority. */
export type Urgency = 'deferred' | 'new' | 'resumed';

/** Place among those of one priority, by how many ranks it has. */
const PLACES: readonly Readonly<Record<Urgency, number>>[] = [
  { resumed: 0, new: 0, deferred: 0 },
  { resumed: 0, new: 0, deferred: 0 },
  { resumed: 0, new: 0, deferred: 1 },
  { resumed: 0, new: 1, deferred: 2 },
];

/**
 * The rank at which a replica serves a request.
 *
 * In a burst a queue served first come, first served makes everybody late. What
 * is late anyway steps behind what can still be on time, among requests of the
 * same priority only: it never yields to a less urgent one. A stream that goes on
 * after its replica was lost comes first, since its caller waits for the next
 * event, not for the first. Ranks are dealt out evenly; with many priorities some
 * have no room for such differences, and beyond ten neighbours share a rank.
 *
 * @param priority - of the request, 0 first
 * @param urgency - among those of its priority
 * @param priorities - how many the service's requests have
 * @returns a rank from 0 to 9
 */
export function serviceRank(
  priority: number,
  urgency: Urgency,
  priorities: number,
): number {
  const startOf = (place: number): number =>
    Math.floor((RANKS * place) / Math.max(1, priorities));
  const first = startOf(priority);
  const room = Math.min(PLACES.length - 1, startOf(priority + 1) - first);
  return Math.min(RANKS - 1, first + (PLACES[room]?.[urgency] ?? 0));
}
