import { DatagramLink } from './DatagramLink.js';
import type { LinkMode } from './FaultLink.js';
import { FaultLink } from './FaultLink.js';

/** Link from the other gateways to one gateway, for both TCP connections and datagrams. */
export class PeerFaultLink {
  readonly #connections: FaultLink;
  readonly #datagrams: DatagramLink;

  /**
   * @param targetHost - host of the gateway
   * @param targetPort - its port for other gateways, both TCP and UDP
   */
  constructor(targetHost: string, targetPort: number) {
    this.#connections = new FaultLink(targetHost, targetPort);
    this.#datagrams = new DatagramLink(targetHost, targetPort);
  }

  /**
   * Listens on a free port and returns it.
   *
   * @throws Error if the port is free for TCP but taken for UDP
   */
  async listen(host: string): Promise<number> {
    const port = await this.#connections.listen(host);
    await this.#datagrams.listen(host, port);
    return port;
  }

  /** Sets the mode for connections and datagrams. */
  setMode(mode: LinkMode): void {
    this.#connections.setMode(mode);
    this.#datagrams.setMode(mode);
  }

  /** Silences every open connection permanently. Datagrams are not affected. */
  silenceAll(): void {
    this.#connections.silenceAll();
  }

  close(): void {
    this.#connections.close();
    this.#datagrams.close();
  }
}
