/** Ranks that replicas know; 0 is served first. */
export const LAST_RANK = 9;

/** How pressing a request is among those of its priority. */
export type Urgency = 'deferred' | 'new' | 'resumed';

const STEPS: Readonly<Record<Urgency, number>> = {
  resumed: 0,
  new: 1,
  deferred: 2,
};
const RANKS_PER_PRIORITY = Object.keys(STEPS).length;

/**
 * The rank at which a replica serves a request.
 *
 * In a burst a queue served first come, first served makes everybody late. What
 * is late anyway steps behind what can still be on time, among requests of the
 * same priority only: it never yields to a less urgent one. A stream that goes on
 * after its replica was lost comes first, since its caller waits for the next
 * event, not for the first.
 *
 * @param priority - of the request, 0 first
 * @param urgency - among those of its priority
 * @returns a rank from 0 to 9
 */
export function serviceRank(priority: number, urgency: Urgency): number {
  return Math.min(LAST_RANK, RANKS_PER_PRIORITY * priority + STEPS[urgency]);
}
