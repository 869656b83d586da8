/** Time within which crashes may have a common cause. */
export const JOINT_CRASH_MS = 150;

/**
 * Groups crashes that happened together.
 *
 * @param crashes - the crashes, in order of time
 * @returns the groups, in order of time
 */
export function groupJointCrashes<Timed extends { readonly atMs: number }>(
  crashes: readonly Timed[],
): readonly (readonly Timed[])[] {
  const groups: Timed[][] = [];
  crashes.forEach(crash => {
    const group = groups.at(-1);
    const firstMs = group?.[0]?.atMs ?? -Infinity;
    if (group && crash.atMs - firstMs <= JOINT_CRASH_MS) {
      group.push(crash);
    } else {
      groups.push([crash]);
    }
  });
  return groups;
}
