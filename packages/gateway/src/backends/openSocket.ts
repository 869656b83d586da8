import type { Socket, TcpNetConnectOpts } from 'node:net';
import { connect } from 'node:net';

import { nextTurn } from '../util/nextTurn.js';

/** Opens a TCP connection, as `connect` of `node:net` does. */
export type SocketFactory = (options: TcpNetConnectOpts) => Socket;

/**
 * What reads from a connection. The memory that an HTTP parser reads from is
 * used again for the next read, since it copies what it passes on.
 */
export type SocketReader = 'httpParser' | 'stream';

/** A server to connect to, and how. */
export interface SocketTarget {
  /** Host and port. */
  readonly address: string;
  /** Timeout for opening the connection, in milliseconds. */
  readonly timeoutMs: number;
  readonly reader: SocketReader;
  /** Opens the connection; `connect` of `node:net` if omitted. */
  readonly factory?: SocketFactory | undefined;
}

/**
 * Memory that the connections of all servers read into, one after another. The
 * HTTP parser copies what it passes on, so nothing refers to the bytes after
 * the `data` event.
 */
const READ_BUFFER = Buffer.allocUnsafeSlow(64 * 1024);

/**
 * Passes on bytes that were read into the common buffer.
 *
 * Bytes that the server sends while no request uses the connection belong to no
 * response, so they close it.
 */
function emitRead(this: Socket, bytes: number): true {
  if (!this.emit('data', READ_BUFFER.subarray(0, bytes))) {
    this.destroy();
  }
  return true;
}

/**
 * Opens a connection.
 *
 * @param target - the server, the timeout, and what reads from it
 * @returns the connection, not yet open; it is destroyed with an error if it
 *   does not open in time
 */
export function openSocket({
  address,
  timeoutMs,
  reader,
  factory = connect,
}: SocketTarget): Socket {
  const [host = '', port = ''] = address.split(':');
  const socket = factory({
    host,
    port: Number(port),
    // Without it, each read allocates 64 KiB and passes the stream's queue.
    ...(reader === 'httpParser'
      ? { onread: { buffer: READ_BUFFER, callback: emitRead } }
      : {}),
  });
  socket.setNoDelay(true);
  const timer = setTimeout(() => {
    // If the event loop was blocked, the connection may be open although the
    // event is still pending.
    void nextTurn().then(() => {
      if (socket.connecting) {
        socket.destroy(new Error(`no connection within ${timeoutMs} ms`));
      }
    });
  }, timeoutMs);
  const stopTimer = (): void => {
    clearTimeout(timer);
  };
  socket.once('connect', stopTimer);
  socket.once('close', stopTimer);
  return socket;
}
