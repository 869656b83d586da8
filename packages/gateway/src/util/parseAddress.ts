import type { ListenAddress } from '../GatewaySettings.js';

/** Pattern of an IPv4 address and a port. */
export const ADDRESS_PATTERN = /^([\d.]+):(\d+)$/;

/**
 * Parses an address.
 *
 * @param text - address in the form `host:port`
 * @returns host and port; null if the text is not an address
 */
export function parseAddress(text: string): ListenAddress | null {
  const [, host, port] = ADDRESS_PATTERN.exec(text) ?? [];
  return host === undefined ? null : { host, port: Number(port) };
}
