import murmurhash from 'murmurhash';

/** An id with its hash, for those that are compared again and again. */
export interface HashedId {
  readonly id: string;
  readonly hash: number;
}

/** @returns the id with its hash */
export function hashed(id: string): HashedId {
  return { id, hash: murmurhash.v3(id) };
}

/**
 * Compares ids by their hash, for an order that all instances agree on without
 * talking and that has nothing to do with names.
 *
 * @param a - one id, hashed before
 * @param b - another
 * @returns negative where the first comes first; equal hashes go by name
 */
export function byHashed(a: HashedId, b: HashedId): number {
  return a.hash - b.hash || (a.id < b.id ? -1 : 1);
}

/** The same order for ids that are compared only now and then. */
export function byHash(a: string, b: string): number {
  return byHashed(hashed(a), hashed(b));
}
