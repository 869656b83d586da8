import { DatagramLink } from './DatagramLink.js';
import type { LinkMode } from './FaultLink.js';
import { FaultLink } from './FaultLink.js';

/** The link over which other instances reach one: connections and datagrams. */
export class PeerLink {
  readonly #connections: FaultLink;
  readonly #datagrams: DatagramLink;

  /**
   * @param targetHost - of the instance
   * @param targetPort - its port for other instances
   */
  constructor(targetHost: string, targetPort: number) {
    this.#connections = new FaultLink(targetHost, targetPort);
    this.#datagrams = new DatagramLink(targetHost, targetPort);
  }

  /** Listens on any port that is free for both, and returns it. */
  async listen(host: string): Promise<number> {
    const port = await this.#connections.listen(host);
    await this.#datagrams.listen(host, port);
    return port;
  }

  /** Changes how the link treats all that goes over it. */
  set(mode: LinkMode): void {
    this.#connections.set(mode);
    this.#datagrams.set(mode);
  }

  /** Silences every open connection for good; datagrams have none. */
  silenceAll(): void {
    this.#connections.silenceAll();
  }

  close(): void {
    this.#connections.close();
    this.#datagrams.close();
  }
}
