import { readFileSync } from 'node:fs';

import type { HeldConnections } from './holdConnections.js';
import { parseAddress } from '../util/parseAddress.js';
import { holdConnections } from './holdConnections.js';

export type { HeldConnections } from './holdConnections.js';
export { holdConnections } from './holdConnections.js';

/**
 * Listens for callers at the address of the settings, before they are checked.
 *
 * Loads nothing but what it needs, since the time until then is time in which
 * callers are turned away.
 *
 * @param file - path of the settings; undefined where none is named
 * @param addressOf - finds host and port in them
 * @returns null where the settings don't say an address; whoever reads them whole
 * says what is wrong with them
 */
export function listenEarly(
  file: string | undefined,
  addressOf: (settings: unknown) => unknown,
): HeldConnections | null {
  if (file === undefined) {
    return null;
  }
  try {
    const said = addressOf(JSON.parse(readFileSync(file, 'utf8')));
    const address = parseAddress(String(said));
    return (
      address &&
      holdConnections(address.host, address.port, err => {
        // Listening is tried once more when the server is there, and fails then.
        console.error(`no early listening at ${address.host}: ${err.message}`);
      })
    );
  } catch {
    // The settings are read again with all checks, which name each fault.
    return null;
  }
}
