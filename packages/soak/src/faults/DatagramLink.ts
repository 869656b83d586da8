import type { Socket } from 'node:dgram';
import { createSocket } from 'node:dgram';

import type { LinkMode } from './FaultLink.js';

/** Maximum number of senders with a socket at once. A fleet has far fewer. */
const MAX_SENDERS = 512;

/**
 * Loopback proxy that forwards datagrams to one program, with injected network
 * faults. Datagrams that arrive while the link is cut are lost.
 */
export class DatagramLink {
  readonly #listener = createSocket('udp4');
  /** One socket for each sender, so that replies can be routed back to it. */
  readonly #upstreams = new Map<string, Socket>();
  #mode: LinkMode = { kind: 'well' };
  #closed = false;

  /**
   * @param targetHost - host to which datagrams are forwarded
   * @param targetPort - port of the target
   */
  constructor(
    private readonly targetHost: string,
    private readonly targetPort: number,
  ) {
    this.#listener.on('message', (bytes, { address, port }) => {
      this.#forward('cutForth', () => {
        this.#upstreamOf(address, port).send(
          bytes,
          this.targetPort,
          this.targetHost,
        );
      });
    });
  }

  /** Listens on a port. */
  async listen(host: string, port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#listener.once('error', reject);
      this.#listener.bind(port, host, resolve);
    });
  }

  /** Sets the mode for all datagrams from now on. */
  setMode(mode: LinkMode): void {
    this.#mode = mode;
  }

  close(): void {
    this.#closed = true;
    this.#listener.close();
    this.#upstreams.forEach(socket => {
      socket.close();
    });
  }

  #upstreamOf(address: string, port: number): Socket {
    const sender = `${address}:${port}`;
    const existing = this.#upstreams.get(sender);
    if (existing) {
      return existing;
    }
    this.#evictOldest();
    const socket = createSocket('udp4');
    socket.on('message', bytes => {
      this.#forward('cutBack', () => {
        this.#listener.send(bytes, port, address);
      });
    });
    socket.on('error', () => {
      // The target is down. Datagrams sent to it are lost.
    });
    this.#upstreams.set(sender, socket);
    return socket;
  }

  #evictOldest(): void {
    const [oldest] = this.#upstreams;
    if (oldest && this.#upstreams.size >= MAX_SENDERS) {
      const [sender, socket] = oldest;
      this.#upstreams.delete(sender);
      socket.close();
    }
  }

  #forward(cut: 'cutBack' | 'cutForth', send: () => void): void {
    const mode = this.#mode;
    if (mode.kind === 'away' || mode.kind === cut) {
      return;
    }
    setTimeout(
      () => {
        if (!this.#closed) {
          send();
        }
      },
      mode.kind === 'delay' ? mode.ms : 0,
    );
  }
}
