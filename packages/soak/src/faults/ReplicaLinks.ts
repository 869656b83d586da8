import type { Socket, TcpNetConnectOpts } from 'node:net';
import { connect } from 'node:net';

/** What happens to new connections: opened, refused, or never answered. */
export type LinkMode = 'refused' | 'silent' | 'well';
/** What happens to open connections when the links are cut. */
export type OpenConnectionFate = 'kept' | 'reset' | 'silent';

/** A port of loopback addresses on which nothing listens. */
const CLOSED_PORT = 1;

/** A cut of the links to all replicas, or their repair. */
export interface LinkOrder {
  readonly order: 'links';
  readonly mode: LinkMode;
  readonly open: OpenConnectionFate;
}

/** The links of one gateway to all replicas, which can be cut. */
export class ReplicaLinks {
  #mode: LinkMode = 'well';
  readonly #sockets = new Set<Socket>();
  /** Number of connections that the gateway tried to open. */
  attempts = 0;

  /** Opens a connection as the links allow it now. */
  readonly connect = (options: TcpNetConnectOpts): Socket => {
    this.attempts += 1;
    const socket = this.#open(options);
    this.#sockets.add(socket);
    socket.once('close', () => this.#sockets.delete(socket));
    return socket;
  };

  /**
   * Cuts the links to all replicas.
   *
   * @param mode - what happens to new connections
   * @param fate - what happens to open connections
   */
  cut(mode: LinkMode, fate: OpenConnectionFate): void {
    this.#mode = mode;
    this.#sockets.forEach(socket => {
      if (fate === 'reset') {
        socket.destroy(
          Object.assign(new Error('read ECONNRESET'), { code: 'ECONNRESET' }),
        );
      } else if (fate === 'silent') {
        socket.pause();
      }
    });
  }

  /** Repairs the links for new connections. */
  heal(): void {
    this.cut('well', 'kept');
  }

  #open(options: TcpNetConnectOpts): Socket {
    switch (this.#mode) {
      case 'refused':
        return connect({ ...options, port: CLOSED_PORT });
      case 'silent':
        // The connection stays in the state of being opened.
        return connect({
          ...options,
          host: 'silent',
          lookup: () => undefined,
        });
      case 'well':
        return connect(options);
    }
  }
}
