import { readFileSync } from 'node:fs';
import { routerError } from '@jujubecroft/types';

import { formatFaults } from './formatFaults.js';
import { parseSettings } from './parseSettings.js';
import type { SettingsKind, SettingsOf } from './settingsSchemas.js';

/**
 * Reads and checks a settings file.
 *
 * @param file - path of the file
 * @param kind - the kind of settings that the caller expects
 * @returns the checked settings
 * @throws RouterError `configInvalid` with every fault, or when the file is of
 *   another kind
 */
export function readSettings<K extends SettingsKind>(
  file: string,
  kind: K,
): SettingsOf<K> {
  const result = parseSettings(readFileSync(file, 'utf8'));
  if (!result.ok) {
    throw routerError('configInvalid', formatFaults(file, result.faults));
  }
  if (result.settings.kind !== kind) {
    throw routerError(
      'configInvalid',
      `${file}: expected kind "${kind}", found "${result.settings.kind}"`,
    );
  }
  return result.settings as SettingsOf<K>;
}
