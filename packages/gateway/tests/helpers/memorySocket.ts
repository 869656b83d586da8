import type { Socket } from 'node:net';
import { Duplex } from 'node:stream';

/** One end of a connection that lies in the memory of the process. */
class MemorySocket extends Duplex {
  connecting = false;
  peer: MemorySocket | null = null;
  readonly remoteAddress = 'memory';

  // Methods of `net.Socket` that have no effect here.
  readonly setNoDelay = (): this => this;
  readonly setKeepAlive = (): this => this;
  readonly setTimeout = (): this => this;
  readonly ref = (): this => this;
  readonly unref = (): this => this;
  readonly resetAndDestroy = (): this => this.destroy();

  override _read(): void {
    // The other end pushes what it writes.
  }

  override _write(
    chunk: Buffer,
    _encoding: BufferEncoding,
    callback: () => void,
  ): void {
    this.peer?.push(chunk);
    callback();
  }

  override _final(callback: () => void): void {
    this.peer?.push(null);
    callback();
  }

  override _destroy(
    err: Error | null,
    callback: (err: Error | null) => void,
  ): void {
    const { peer } = this;
    process.nextTick(() => {
      peer?.destroy();
    });
    callback(err);
  }

  /** Ends the state of being opened. */
  open(): void {
    if (!this.destroyed) {
      this.connecting = false;
      this.emit('connect');
    }
  }
}

/** The ends of a connection. */
export interface MemoryConnection {
  readonly client: Socket;
  readonly server: Socket;
  /** Opens the connection for the client. */
  readonly open: () => void;
}

/** Creates a connection that is not yet open for its client. */
export function createMemoryConnection(): MemoryConnection {
  const client = new MemorySocket();
  const server = new MemorySocket();
  client.peer = server;
  server.peer = client;
  client.connecting = true;
  return {
    client: client as unknown as Socket,
    server: server as unknown as Socket,
    open: () => {
      client.open();
    },
  };
}
