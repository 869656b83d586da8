/**
 * Waits until the event loop has processed pending reads.
 *
 * Timers fire before reads in a turn of the event loop. Code that decides that
 * a peer is silent must wait for pending reads first; otherwise a delay of its
 * own process looks like silence of the peer.
 */
export function nextTurn(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}
