import type { SettingsFault } from './parseSettings.js';

/**
 * Formats faults for display, one per line.
 *
 * @param file - file name to print before each line number
 * @param faults - the faults of the file
 * @returns lines of the form `file:line: path: expected …`
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
