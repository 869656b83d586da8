import type { Server, Socket } from 'node:net';
import { connect, createServer } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { listenOn } from '@jujubecroft/stand-ins/util';

/** How a link treats what goes over it. */
export type LinkMode =
  | { readonly kind: 'away' }
  | { readonly kind: 'cutBack' }
  | { readonly kind: 'cutForth' }
  | { readonly kind: 'delay'; readonly ms: number }
  | { readonly kind: 'well' };

const WELL: LinkMode = { kind: 'well' };

/** Both ends of one connection through the link. */
interface Pair {
  readonly near: Socket;
  readonly far: Socket;
  /** Whether the connection has gone silent for good. */
  silenced: boolean;
}

/**
 * A loopback proxy between one program and another, with faults of networks.
 *
 * What is held up while a link is cut arrives when it heals, unless an end gives
 * the connection up before, as on real networks.
 */
export class FaultLink {
  readonly #server: Server;
  readonly #pairs = new Set<Pair>();
  #mode: LinkMode = WELL;

  /**
   * @param targetHost - where connections lead
   * @param targetPort - its port
   */
  constructor(
    private readonly targetHost: string,
    private readonly targetPort: number,
  ) {
    this.#server = createServer({ allowHalfOpen: true }, near => {
      this.#open(near);
    });
  }

  /** Listens on any free port, and returns it. */
  async listen(host: string): Promise<number> {
    return listenOn(this.#server, host);
  }

  /** Changes how the link treats all connections, open ones too. */
  set(mode: LinkMode): void {
    this.#mode = mode;
    this.#pairs.forEach(pair => {
      this.#apply(pair);
    });
  }

  /** Resets every open connection; new ones work. */
  resetAll(): void {
    this.#pairs.forEach(({ near, far }) => {
      near.resetAndDestroy();
      far.resetAndDestroy();
    });
  }

  /** Silences every open connection for good, without a sign; new ones work. */
  silenceAll(): void {
    this.#pairs.forEach(pair => {
      pair.silenced = true;
      this.#apply(pair);
    });
  }

  close(): void {
    this.#server.close();
    this.#pairs.forEach(({ near, far }) => {
      near.destroy();
      far.destroy();
    });
  }

  #open(near: Socket): void {
    const far = connect({
      host: this.targetHost,
      port: this.targetPort,
      allowHalfOpen: true,
      noDelay: true,
    });
    near.setNoDelay(true);
    const pair: Pair = { near, far, silenced: false };
    this.#pairs.add(pair);
    this.#carry(near, far);
    this.#carry(far, near);
    const drop = (): void => {
      // A silenced connection doesn't tell the other end that one is gone.
      if (pair.silenced || this.#mode.kind === 'away') {
        return;
      }
      near.destroy();
      far.destroy();
    };
    [near, far].forEach(socket => {
      socket.on('error', () => {
        // Either end may reset at any time; that is what links are for here.
        drop();
      });
      socket.on('close', () => {
        drop();
        if (near.destroyed && far.destroyed) {
          this.#pairs.delete(pair);
        }
      });
    });
    this.#apply(pair);
  }

  #carry(from: Socket, to: Socket): void {
    // One after the other: bytes that were delayed must not be overtaken by
    // those that come when the delay is over.
    let before = Promise.resolve();
    const inTurn = (step: () => void): void => {
      const ms = this.#mode.kind === 'delay' ? this.#mode.ms : 0;
      const due = ms > 0 ? sleep(ms) : null;
      before = before.then(async () => {
        await due;
        step();
      });
    };
    from.on('data', (chunk: Buffer) => {
      inTurn(() => {
        if (to.writable && !to.write(chunk)) {
          from.pause();
          to.once('drain', () => from.resume());
        }
      });
    });
    from.on('end', () => {
      inTurn(() => to.end());
    });
  }

  #apply({ near, far, silenced }: Pair): void {
    const { kind } = this.#mode;
    const stopsForth = silenced || kind === 'away' || kind === 'cutForth';
    const stopsBack = silenced || kind === 'away' || kind === 'cutBack';
    hold(near, stopsForth);
    hold(far, stopsBack);
  }
}

function hold(socket: Socket, stops: boolean): void {
  if (stops) {
    socket.pause();
    return;
  }
  socket.resume();
}
