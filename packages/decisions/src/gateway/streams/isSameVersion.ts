import type { SoftwareVersion } from '@jujubecroft/types';

/** Whether two software versions are known and equal. Unknown ones may differ. */
export function isSameVersion(
  a: SoftwareVersion | null,
  b: SoftwareVersion | null,
): boolean {
  return a !== null && a === b;
}
