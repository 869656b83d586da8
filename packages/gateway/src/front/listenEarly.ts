import { readFileSync } from 'node:fs';

import type { EarlyConnections } from './acceptEarlyConnections.js';
import { parseAddress } from '../util/parseAddress.js';
import { acceptEarlyConnections } from './acceptEarlyConnections.js';

export type { EarlyConnections } from './acceptEarlyConnections.js';
export { acceptEarlyConnections } from './acceptEarlyConnections.js';

/**
 * Listens for callers at the address in the settings file, before the settings
 * are validated.
 *
 * The module imports only what it needs, since callers are refused until it
 * listens.
 *
 * @param file - path of the settings file; undefined if none is given
 * @param addressOf - returns the value of the address setting, in the form
 *   `host:port`
 * @returns null if no valid address was found; the later validation of the
 *   settings reports the cause
 */
export function listenEarly(
  file: string | undefined,
  addressOf: (settings: unknown) => unknown,
): EarlyConnections | null {
  if (file === undefined) {
    return null;
  }
  try {
    const value = addressOf(JSON.parse(readFileSync(file, 'utf8')));
    const address = parseAddress(String(value));
    return (
      address &&
      acceptEarlyConnections(address.host, address.port, err => {
        // Listening is attempted again when the server starts, which then
        // reports the failure.
        console.error(`cannot listen early on ${address.host}: ${err.message}`);
      })
    );
  } catch {
    // The settings are read again with full validation, which reports each
    // error.
    return null;
  }
}
