/**
 * Number of versions that an era of a store can have. A store with a few
 * hundred writes per second needs over a hundred days for as many.
 */
const VERSIONS_PER_ERA = 2 ** 32;

/**
 * Combines a version of a store with its era.
 *
 * A store that is restored from an older copy begins a new era and assigns
 * versions of the era before again. The combined versions are ordered by era
 * first, so that comparing them as numbers is safe; without eras they equal the
 * store's own versions.
 *
 * @param era - era of the store, 0 if it has none
 * @param version - version within the era
 * @returns a safe integer
 */
export function toStoreVersion(era: number, version: number): number {
  return era * VERSIONS_PER_ERA + version;
}

/** Returns the era of a combined version. */
export function eraOf(storeVersion: number): number {
  return Math.floor(storeVersion / VERSIONS_PER_ERA);
}

/** Returns the version within its era of a combined version. */
export function versionInEra(storeVersion: number): number {
  return storeVersion % VERSIONS_PER_ERA;
}

/** Formats a combined version for logs, as `era.version` where there are eras. */
export function formatStoreVersion(storeVersion: number): number | string {
  const era = eraOf(storeVersion);
  return era === 0 ? storeVersion : `${era}.${versionInEra(storeVersion)}`;
}
