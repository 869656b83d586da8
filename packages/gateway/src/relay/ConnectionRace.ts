import type { Socket } from 'node:net';

import { nextTurn } from '../util/nextTurn.js';
import { toError } from '../util/toError.js';

/** The two ways to a replica, and who learns which of them works. */
export interface ConnectionWays {
  /** Starts to open a direct connection. */
  readonly openDirect: () => Socket;
  /** Opens a connection through another instance. */
  readonly openRelayed: (signal: AbortSignal) => Promise<Socket>;
  /** Called when a direct connection is open, even if it is not used. */
  readonly onDirect: () => void;
  /** Called when a connection through another instance was the first to open. */
  readonly onRelayed: (socket: Socket) => void;
  /** Whether the replica shows by other connections that the direct path works. */
  readonly isPathAlive: () => boolean;
}

/**
 * Opens one connection directly or through another instance, whichever opens
 * first.
 */
export class ConnectionRace {
  readonly #abort = new AbortController();
  readonly #result: Promise<Socket>;
  #resolve: (socket: Socket) => void = () => undefined;
  #reject: (err: Error) => void = () => undefined;
  #isOpen = false;
  #isDirectPending = false;
  #relay: 'failed' | 'idle' | 'pending' = 'idle';
  #failure: Error | null = null;
  #timer: NodeJS.Timeout | undefined;

  constructor(private readonly ways: ConnectionWays) {
    this.#result = new Promise((resolve, reject) => {
      this.#resolve = resolve;
      this.#reject = reject;
    });
  }

  /**
   * Runs the race, once.
   *
   * @param direct - whether to try a direct connection
   * @param relayAfterMs - time after which the other way is tried as well, in
   *   milliseconds; it is tried at once when a direct connection fails
   * @returns the connection that opened first
   * @throws Error if both ways failed
   */
  run(direct: boolean, relayAfterMs: number): Promise<Socket> {
    if (direct) {
      this.#startDirect();
    }
    if (relayAfterMs === 0) {
      this.#startRelay();
    } else {
      this.#timer = setTimeout(() => {
        // If the event loop was blocked, the connection may be open although the
        // event is still pending.
        void nextTurn().then(() => {
          if (!this.ways.isPathAlive()) {
            this.#startRelay();
          }
        });
      }, relayAfterMs);
    }
    return this.#result;
  }

  #startDirect(): void {
    this.#isDirectPending = true;
    const socket = this.ways.openDirect();
    const onError = (err: Error): void => {
      this.#isDirectPending = false;
      this.#startRelay();
      this.#fail(err);
    };
    socket.once('error', onError);
    socket.once('connect', () => {
      this.ways.onDirect();
      if (this.#isOpen) {
        socket.destroy();
        return;
      }
      socket.off('error', onError);
      this.#abort.abort();
      this.#open(socket);
    });
  }

  #startRelay(): void {
    if (this.#relay !== 'idle' || this.#isOpen) {
      return;
    }
    this.#relay = 'pending';
    this.ways.openRelayed(this.#abort.signal).then(
      socket => {
        if (this.#isOpen) {
          socket.destroy();
          return;
        }
        this.#open(socket);
        this.ways.onRelayed(socket);
      },
      (err: unknown) => {
        this.#relay = 'failed';
        this.#fail(toError(err));
      },
    );
  }

  #open(socket: Socket): void {
    this.#isOpen = true;
    clearTimeout(this.#timer);
    this.#resolve(socket);
  }

  #fail(err: Error): void {
    this.#failure ??= err;
    if (!this.#isOpen && !this.#isDirectPending && this.#relay === 'failed') {
      clearTimeout(this.#timer);
      this.#reject(this.#failure);
    }
  }
}
