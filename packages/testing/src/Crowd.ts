import type { Socket } from 'node:net';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

const POLL_MS = 50;

/** Address that a crowd connects to. */
export interface Target {
  readonly host: string;
  readonly port: number;
}

/** Connections of clients that write what they like and read no answer. */
export class Crowd {
  readonly #sockets: Socket[] = [];

  /**
   * @param target - what the clients connect to
   * @param from - address that the clients connect from; chosen by the system if omitted
   */
  constructor(
    private readonly target: Target,
    private readonly from?: string,
  ) {}

  /** Opens connections that write some bytes once, and nothing more. */
  open(count: number, bytes: string): void {
    Array.from({ length: count }).forEach(() => {
      this.#connect().write(bytes, 'latin1');
    });
  }

  /**
   * Opens connections that write the same bytes again and again, as fast as they are
   * taken, until they are closed.
   *
   * @param count - number of connections
   * @param bytes - written repeatedly
   * @param maxBytes - after which a connection writes nothing more
   */
  flood(count: number, bytes: string, maxBytes: number): void {
    Array.from({ length: count }).forEach(() => {
      const socket = this.#connect();
      let sent = 0;
      const write = (): void => {
        while (sent < maxBytes && socket.writable) {
          sent += bytes.length;
          if (!socket.write(bytes, 'latin1')) {
            socket.once('drain', write);
            return;
          }
        }
      };
      write();
    });
  }

  /** Waits until all connections are closed, for a time at most, in milliseconds. */
  async hold(ms: number): Promise<void> {
    const endMs = performance.now() + ms;
    while (
      performance.now() < endMs &&
      this.#sockets.some(({ closed }) => !closed)
    ) {
      await sleep(POLL_MS);
    }
  }

  /** Closes all connections. */
  leave(): void {
    this.#sockets.splice(0).forEach(socket => {
      socket.destroy();
    });
  }

  #connect(): Socket {
    const { host, port } = this.target;
    const socket = connect({
      host,
      port,
      ...(this.from === undefined ? {} : { localAddress: this.from }),
    });
    // An instance may reset the connection.
    socket.on('error', () => undefined);
    socket.pause();
    this.#sockets.push(socket);
    return socket;
  }
}
