import type { Socket } from 'node:dgram';
import { createSocket } from 'node:dgram';

import type { ListenAddress } from '../GatewaySettings.js';

/** Told of a datagram and of the address that it came from. */
export type DatagramListener = (bytes: Uint8Array, from: string) => void;

/** Told of a datagram that could not be sent. */
export type SendFaultListener = (to: string, err: Error) => void;

const IP_VERSION = 4;

/**
 * Sends and receives datagrams between instances.
 *
 * Rounds of heartbeats go to members drawn at random. With a connection for each
 * of them, one of thirty idle instances spent half of its processor time (profile
 * of 14 s) on opening connections and on calls, and memory grew with every member met.
 */
export class PeerSocket {
  readonly #socket: Socket;
  #closed = false;

  constructor(
    onDatagram: DatagramListener,
    private readonly onSendFault: SendFaultListener,
  ) {
    this.#socket = createSocket({
      type: 'udp4',
      // Addresses are numbers; nothing has to be looked up.
      lookup: (host, _options, callback) => {
        callback(null, host, IP_VERSION);
      },
    });
    this.#socket.on('message', (bytes, { address, port }) => {
      onDatagram(bytes, `${address}:${port}`);
    });
  }

  /**
   * Starts to receive.
   *
   * @param address - host and port
   * @throws Error when the port is taken
   */
  async listen({ host, port }: ListenAddress): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#socket.once('error', reject);
      this.#socket.bind(port, host, () => {
        this.#socket.off('error', reject);
        resolve();
      });
    });
    this.#socket.on('error', err => {
      this.onSendFault('', err);
    });
  }

  /**
   * Sends a datagram; it may get lost.
   *
   * @param bytes - content
   * @param to - host and port
   */
  send(bytes: Uint8Array, to: string): void {
    if (this.#closed) {
      return;
    }
    const [host = '', port = ''] = to.split(':');
    this.#socket.send(bytes, Number(port), host, err => {
      if (err) {
        this.onSendFault(to, err);
      }
    });
  }

  /** Closes the socket; nothing is sent any more. */
  close(): void {
    if (!this.#closed) {
      this.#closed = true;
      this.#socket.close();
    }
  }
}
