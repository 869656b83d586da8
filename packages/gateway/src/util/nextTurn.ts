/**
 * Waits until the event loop has read what had arrived.
 *
 * Timers come before reads in a turn of the loop. Whoever judges others by time
 * waits for this first, or takes its own being held up for their silence.
 */
export function nextTurn(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}
