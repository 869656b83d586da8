/** Crashes that happened together and that requests with a prompt part were lost in. */
export interface JointCrashes {
  readonly count: number;
  /** Whether so many replicas crashed then that one request is unlikely to be the cause. */
  readonly isMassCrash: boolean;
  /** Time of the latest one, on the local clock. */
  readonly lastMs: number;
}

/** What is known of a prompt part. */
export interface PartEvidence {
  /**
   * Crashes that requests with the part were lost in and that no service outweighs, in
   * groups of those that happened together, in order of time.
   */
  readonly groups: readonly JointCrashes[];
  /** Whether a request with the part was ever served. */
  readonly wasServed: boolean;
}

/** What follows from the evidence on a prompt part. */
export interface PartVerdict {
  /** Whether a request with the part was ever served, as far as this instance knows. */
  readonly wasServed: boolean;
  /** Number of crashes that count; those that happened together may count as one. */
  readonly crashes: number;
  /** Whether requests with the part are kept away from other requests. */
  readonly isSuspect: boolean;
  /** Whether requests with the part are no longer sent. */
  readonly isBarred: boolean;
  /** From when on one request with a barred part may be sent; null if it isn't barred. */
  readonly trialAtMs: number | null;
}

/** Crashes after which a part that was never served is barred. */
const MAX_CRASHES = 3;
/**
 * The same for a part that was served before, where crashes that happened together count
 * as one. That it begins to crash replicas is much less likely than that its requests
 * were lost by chance.
 */
const MAX_CRASHES_IF_SERVED = 5;
/** Number of crashes before the one that bars a part from which on it is suspect. */
const SUSPECT_BEFORE = 1;
/** Smallest number of crashes that make any part suspect. */
export const MIN_SUSPECT_CRASHES = MAX_CRASHES - SUSPECT_BEFORE;
/**
 * Times from the last crash to the next trial, after each crash from the one that bars
 * a part. The first is short, since a part may be barred by mistake; the later ones bound
 * the number of replicas that a part crashes.
 */
const TRIAL_DELAYS_MS = [10_000, 120_000, 600_000];

/**
 * Judges whether a prompt part crashes replicas.
 *
 * Everything that runs at a replica is lost in its crash, so a sound part is among the
 * lost of many crashes; but it is also served between them, and each service outweighs
 * more than one crash.
 *
 * @param evidence - what is known of the part
 */
export function judgePart({ groups, wasServed }: PartEvidence): PartVerdict {
  const crashes = groups.reduce(
    (sum, { count, isMassCrash }) =>
      sum + (wasServed || isMassCrash ? 1 : count),
    0,
  );
  const limit = wasServed ? MAX_CRASHES_IF_SERVED : MAX_CRASHES;
  const isBarred = crashes >= limit;
  const lastMs = groups.at(-1)?.lastMs;
  const delayMs =
    TRIAL_DELAYS_MS[crashes - limit] ?? TRIAL_DELAYS_MS.at(-1) ?? Infinity;
  return {
    wasServed,
    crashes,
    isSuspect: crashes >= limit - SUSPECT_BEFORE,
    isBarred,
    trialAtMs: isBarred && lastMs !== undefined ? lastMs + delayMs : null,
  };
}
