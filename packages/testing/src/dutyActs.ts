/** A call that a holder made. */
export interface DutyAct {
  readonly holder: string;
  readonly token: number;
  readonly atMs: number;
}

/**
 * Checks what holders did against what has to hold for the duties of a fleet.
 *
 * @param acts - of all holders, in the order in which the platform got them
 * @param leaseMs - time in which the same holder must not come back
 * @returns what is wrong; null where nothing is
 */
export function faultOf(
  acts: readonly DutyAct[],
  leaseMs: number,
): string | null {
  const holders = new Map<number, string>();
  for (const [place, act] of acts.entries()) {
    const before = acts.slice(0, place);
    const owner = holders.get(act.token) ?? act.holder;
    if (owner !== act.holder) {
      return `two holders with token ${act.token}`;
    }
    holders.set(act.token, act.holder);
    if (before.some(({ token }) => token > act.token)) {
      return `token ${act.token} after a higher one`;
    }
    const other = before.findLastIndex(({ holder }) => holder !== act.holder);
    const cameBack = before
      .slice(0, Math.max(0, other))
      .some(
        ({ holder, atMs }) =>
          holder === act.holder && act.atMs - atMs < leaseMs,
      );
    if (cameBack) {
      return `${act.holder} came back within a lease`;
    }
  }
  return null;
}
