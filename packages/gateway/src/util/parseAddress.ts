import type { ListenAddress } from '../GatewaySettings.js';

/** An IP address and a port. */
export const ADDRESS = /^([\d.]+):(\d+)$/;

/** @returns host and port of an address; null for what is none */
export function parseAddress(text: string): ListenAddress | null {
  const [, host, port] = ADDRESS.exec(text) ?? [];
  return host === undefined ? null : { host, port: Number(port) };
}
