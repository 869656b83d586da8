import murmurhash from 'murmurhash';

/** An id with its precomputed hash, for ids that are compared repeatedly. */
export interface HashedId {
  readonly id: string;
  readonly hash: number;
}

/** @returns the id with its hash */
export function toHashedId(id: string): HashedId {
  return { id, hash: murmurhash.v3(id) };
}

/**
 * Compares ids by their hash. The order is the same on all instances without
 * coordination and does not depend on naming schemes.
 *
 * @param a - first id with its hash
 * @param b - second id with its hash
 * @returns a negative number if the first id comes first; equal hashes are ordered by id
 */
export function compareHashed(a: HashedId, b: HashedId): number {
  return a.hash - b.hash || (a.id < b.id ? -1 : 1);
}

/** Same order as {@link compareHashed}, for ids that are compared rarely. */
export function byHash(a: string, b: string): number {
  return compareHashed(toHashedId(a), toHashedId(b));
}
