import type { Socket } from 'node:dgram';
import { createSocket } from 'node:dgram';

import type { LinkMode } from './FaultLink.js';

/** Senders that are remembered at once; a fleet has far fewer. */
const MAX_SENDERS = 512;

/**
 * A loopback forwarder of datagrams between one program and others, with faults of
 * networks. What comes while the link is cut is lost.
 */
export class DatagramLink {
  readonly #near = createSocket('udp4');
  /** One socket for each sender, so that answers find their way back. */
  readonly #far = new Map<string, Socket>();
  #mode: LinkMode = { kind: 'well' };
  #closed = false;

  /**
   * @param targetHost - where datagrams lead
   * @param targetPort - its port
   */
  constructor(
    private readonly targetHost: string,
    private readonly targetPort: number,
  ) {
    this.#near.on('message', (bytes, { address, port }) => {
      this.#carry('cutForth', () => {
        this.#farOf(address, port).send(
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
      this.#near.once('error', reject);
      this.#near.bind(port, host, resolve);
    });
  }

  /** Changes how the link treats datagrams. */
  set(mode: LinkMode): void {
    this.#mode = mode;
  }

  close(): void {
    this.#closed = true;
    this.#near.close();
    this.#far.forEach(socket => {
      socket.close();
    });
  }

  #farOf(address: string, port: number): Socket {
    const sender = `${address}:${port}`;
    const known = this.#far.get(sender);
    if (known) {
      return known;
    }
    this.#forgetOldest();
    const socket = createSocket('udp4');
    socket.on('message', bytes => {
      this.#carry('cutBack', () => {
        this.#near.send(bytes, port, address);
      });
    });
    socket.on('error', () => {
      // The target is down for now; what is sent to it is lost.
    });
    this.#far.set(sender, socket);
    return socket;
  }

  #forgetOldest(): void {
    const [oldest] = this.#far;
    if (oldest && this.#far.size >= MAX_SENDERS) {
      const [sender, socket] = oldest;
      this.#far.delete(sender);
      socket.close();
    }
  }

  #carry(cut: 'cutBack' | 'cutForth', send: () => void): void {
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
