import type { Server, Socket } from 'node:net';
import { connect, createServer } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { listenOn } from '@jujubecroft/stand-ins/util';

/**
 * Mode of a link, as seen from the connecting side.
 *
 * `away`: cut in both directions. `cutForth`: cut towards the target. `cutBack`: cut
 * towards the connecting side. `delay`: delayed in both directions. `well`: no fault.
 */
export type LinkMode =
  | { readonly kind: 'away' }
  | { readonly kind: 'cutBack' }
  | { readonly kind: 'cutForth' }
  | { readonly kind: 'delay'; readonly ms: number }
  | { readonly kind: 'well' };

const NO_FAULT: LinkMode = { kind: 'well' };
/** Interval between checks whether the target listens again, in milliseconds. */
const TARGET_POLL_MS = 20;

/** Both sockets of one connection through the link. */
interface ProxiedConnection {
  readonly downstream: Socket;
  readonly upstream: Socket;
  /** Whether the connection is permanently silent. */
  silenced: boolean;
}

/**
 * Loopback TCP proxy between two programs, with injected network faults.
 *
 * As on a real network, data that is held back while the link is cut is delivered
 * when the cut ends, unless either end closes the connection before.
 */
export class FaultLink {
  readonly #server: Server;
  readonly #connections = new Set<ProxiedConnection>();
  #mode: LinkMode = NO_FAULT;

  /** Number of times that it began to refuse connections. */
  #refusals = 0;
  /** Where it listens; null before. */
  #address: { readonly host: string; readonly port: number } | null = null;

  /**
   * @param targetHost - host to which connections are forwarded
   * @param targetPort - port of the target
   */
  constructor(
    private readonly targetHost: string,
    private readonly targetPort: number,
  ) {
    this.#server = createServer({ allowHalfOpen: true }, downstream => {
      this.#open(downstream);
    });
  }

  /** Listens on any free port and returns it. */
  async listen(host: string): Promise<number> {
    const port = await listenOn(this.#server, host);
    this.#address = { host, port };
    return port;
  }

  #isTargetListening(): Promise<boolean> {
    return new Promise(resolve => {
      const socket = connect(this.targetPort, this.targetHost);
      socket.once('connect', () => {
        socket.destroy();
        resolve(true);
      });
      socket.once('error', () => {
        resolve(false);
      });
    });
  }

  /** Refuses new connections, as a host does on which nothing listens. */
  refuse(): void {
    this.#refusals += 1;
    this.#server.close();
  }

  /** Accepts connections again once the target does. */
  async acceptWithTarget(): Promise<void> {
    const address = this.#address;
    const refusals = this.#refusals;
    while (!(await this.#isTargetListening())) {
      await sleep(TARGET_POLL_MS);
      if (this.#refusals !== refusals) {
        return;
      }
    }
    if (address && this.#refusals === refusals && !this.#server.listening) {
      await listenOn(this.#server, address.host, address.port);
    }
  }

  /** Sets the mode of all connections, including open ones. */
  setMode(mode: LinkMode): void {
    this.#mode = mode;
    this.#connections.forEach(connection => {
      this.#applyMode(connection);
    });
  }

  /** Resets every open connection. New connections are not affected. */
  resetAll(): void {
    this.#connections.forEach(({ downstream, upstream }) => {
      downstream.resetAndDestroy();
      upstream.resetAndDestroy();
    });
  }

  /**
   * Stops forwarding on every open connection permanently, without closing it. New
   * connections are not affected.
   */
  silenceAll(): void {
    this.#connections.forEach(connection => {
      connection.silenced = true;
      this.#applyMode(connection);
    });
  }

  close(): void {
    this.#refusals += 1;
    this.#server.close();
    this.#connections.forEach(({ downstream, upstream }) => {
      downstream.destroy();
      upstream.destroy();
    });
  }

  #open(downstream: Socket): void {
    const upstream = connect({
      host: this.targetHost,
      port: this.targetPort,
      allowHalfOpen: true,
      noDelay: true,
    });
    downstream.setNoDelay(true);
    const connection: ProxiedConnection = {
      downstream,
      upstream,
      silenced: false,
    };
    this.#connections.add(connection);
    this.#forward(downstream, upstream);
    this.#forward(upstream, downstream);
    // On a silent or cut connection, the close of one end is not visible to the other.
    const isHidden = (): boolean =>
      connection.silenced || this.#mode.kind === 'away';
    const destroyBoth = (): void => {
      if (!isHidden()) {
        downstream.destroy();
        upstream.destroy();
      }
    };
    const resetBoth = (): void => {
      if (!isHidden()) {
        [downstream, upstream]
          .filter(({ destroyed }) => !destroyed)
          .forEach(socket => socket.resetAndDestroy());
      }
    };
    [downstream, upstream].forEach(socket => {
      socket.on('error', () => {
        // Either end may reset the connection at any time as part of a fault.
        resetBoth();
      });
      socket.on('close', () => {
        destroyBoth();
        if (downstream.destroyed && upstream.destroyed) {
          this.#connections.delete(connection);
        }
      });
    });
    this.#applyMode(connection);
  }

  #forward(from: Socket, to: Socket): void {
    // Chunks are written strictly in order: a delayed chunk must not be overtaken
    // by one that arrives after the delay has ended.
    let previous = Promise.resolve();
    const enqueue = (action: () => void): void => {
      const ms = this.#mode.kind === 'delay' ? this.#mode.ms : 0;
      const delayed = ms > 0 ? sleep(ms) : null;
      previous = previous.then(async () => {
        await delayed;
        action();
      });
    };
    from.on('data', (chunk: Buffer) => {
      enqueue(() => {
        if (to.writable && !to.write(chunk)) {
          from.pause();
          to.once('drain', () => from.resume());
        }
      });
    });
    from.on('end', () => {
      // If a reset arrives together with the last bytes, Node.js reports an end.
      const wasReset = from.remoteAddress === undefined;
      enqueue(() => {
        if (wasReset) {
          to.resetAndDestroy();
        } else {
          to.end();
        }
      });
    });
  }

  #applyMode({ downstream, upstream, silenced }: ProxiedConnection): void {
    const { kind } = this.#mode;
    const holdsForward = silenced || kind === 'away' || kind === 'cutForth';
    const holdsBackward = silenced || kind === 'away' || kind === 'cutBack';
    setPaused(downstream, holdsForward);
    setPaused(upstream, holdsBackward);
  }
}

function setPaused(socket: Socket, isPaused: boolean): void {
  if (isPaused) {
    socket.pause();
    return;
  }
  socket.resume();
}
