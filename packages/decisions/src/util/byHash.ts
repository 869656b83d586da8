import murmurhash from 'murmurhash';

/**
 * Compares ids by their hash, for an order that all instances agree on without
 * talking and that has nothing to do with names.
 *
 * @param a - one id
 * @param b - another
 * @returns negative where the first comes first; equal hashes go by name
 */
export function byHash(a: string, b: string): number {
  return murmurhash.v3(a) - murmurhash.v3(b) || (a < b ? -1 : 1);
}
