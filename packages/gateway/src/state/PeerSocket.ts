import type { Socket } from 'node:dgram';
import { createSocket } from 'node:dgram';

import type { ListenAddress } from '../GatewaySettings.js';
import { toError } from '../util/toError.js';

/** Called with a received datagram and the address of its sender. */
export type DatagramListener = (bytes: Uint8Array, from: string) => void;

/**
 * Called when a datagram could not be sent; `to` is empty if the address is unknown.
 */
export type SendErrorListener = (to: string, err: Error) => void;

const IPV4_FAMILY = 4;

/**
 * Sends and receives datagrams between instances.
 *
 * Datagrams need no connections: heartbeats go to randomly chosen members, and with a
 * connection to each of them, one of thirty idle instances spent half of its CPU time
 * (profile of 14 s) on opening connections and on calls, and its memory grew with each
 * member that it contacted.
 */
export class PeerSocket {
  readonly #socket: Socket;
  #isClosed = false;

  constructor(
    onDatagram: DatagramListener,
    private readonly onSendError: SendErrorListener,
  ) {
    this.#socket = createSocket({
      type: 'udp4',
      // Hosts are IP addresses, which need no DNS lookup.
      lookup: (host, _options, callback) => {
        callback(null, host, IPV4_FAMILY);
      },
    });
    this.#socket.on('message', (bytes, { address, port }) => {
      onDatagram(bytes, `${address}:${port}`);
    });
  }

  /**
   * Binds the socket and starts to receive.
   *
   * @param address - host and port to listen at
   * @throws Error if the port is taken
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
      this.onSendError('', err);
    });
  }

  /**
   * Sends a datagram, which may get lost; does nothing once the socket is closed.
   *
   * @param bytes - payload
   * @param to - host and port of the recipient, as `host:port`
   */
  send(bytes: Uint8Array, to: string): void {
    if (this.#isClosed) {
      return;
    }
    const [host = '', port = ''] = to.split(':');
    try {
      this.#socket.send(bytes, Number(port), host, err => {
        if (err) {
          this.onSendError(to, err);
        }
      });
    } catch (err) {
      // The address comes from a message, and need not be one.
      this.onSendError(to, toError(err));
    }
  }

  /** Closes the socket; further calls of `send` and `close` have no effect. */
  close(): void {
    if (!this.#isClosed) {
      this.#isClosed = true;
      this.#socket.close();
    }
  }
}
