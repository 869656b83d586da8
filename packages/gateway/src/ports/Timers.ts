/** Cancels a timer. */
export type CancelTimer = () => void;

/** Timers of an instance; tests replace them to run on a virtual clock. */
export interface Timers {
  /** Runs a function once after a delay. */
  readonly after: (ms: number, run: () => void) => CancelTimer;
  /** Runs a function repeatedly with a fixed interval. */
  readonly every: (ms: number, run: () => void) => CancelTimer;
  /** Waits for a number of milliseconds. */
  readonly sleep: (ms: number) => Promise<void>;
  /**
   * Waits until the event loop has processed pending reads.
   *
   * Timers fire before reads in a turn of the event loop. Code that decides
   * that a peer is silent must wait for pending reads first; otherwise a delay
   * of its own process looks like silence of the peer.
   */
  readonly nextTurn: () => Promise<void>;
}
