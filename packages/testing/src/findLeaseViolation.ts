/** A call to the platform by an instance that held the lease for the duties of the fleet. */
export interface HolderCall {
  /** The calling instance. */
  readonly holder: string;
  /** Fencing token of the lease. */
  readonly token: number;
  readonly atMs: number;
}

/**
 * Checks that the calls of all lease holders respect mutual exclusion.
 *
 * Each token belongs to one holder, tokens never decrease, and a holder that lost the
 * lease to another one does not return within the duration of a lease.
 *
 * @param acts - the calls of all holders, in the order in which the platform got them
 * @param leaseMs - duration of a lease, in milliseconds
 * @returns a description of the first violation; null where there is none
 */
export function findLeaseViolation(
  acts: readonly HolderCall[],
  leaseMs: number,
): string | null {
  const holders = new Map<number, string>();
  for (const [index, act] of acts.entries()) {
    const before = acts.slice(0, index);
    const owner = holders.get(act.token) ?? act.holder;
    if (owner !== act.holder) {
      return `two holders with token ${act.token}`;
    }
    holders.set(act.token, act.holder);
    if (before.some(({ token }) => token > act.token)) {
      return `token ${act.token} after a higher one`;
    }
    const other = before.findLastIndex(({ holder }) => holder !== act.holder);
    const hasReturned = before
      .slice(0, Math.max(0, other))
      .some(
        ({ holder, atMs }) =>
          holder === act.holder && act.atMs - atMs < leaseMs,
      );
    if (hasReturned) {
      return `${act.holder} came back within a lease`;
    }
  }
  return null;
}
