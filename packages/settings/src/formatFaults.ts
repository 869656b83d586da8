import type { SettingsFault } from './parseSettings.js';

/**
 * Lists faults for a person, one a line.
 *
 * @param file - name to print before each line number
 * @param faults - the faults
 * @returns lines of `file:line: path: expected …`
 */
export function formatFaults(
  file: string,
  faults: readonly SettingsFault[],
): string {
  return faults
    .map(
      ({ line, path, expected }) =>
        `${file}:${line}: ${path || '(document)'}: expected ${expected}`,
    )
    .join('\n');
}
