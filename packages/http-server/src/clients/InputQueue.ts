/** Time for which input is passed in one turn of the event loop, in milliseconds. */
const MAX_TURN_MS = 1;

/**
 * Passes input that waits.
 *
 * @param isOver - whether the rest has to wait for a later turn
 */
export type ResumeInput = (isOver: () => boolean) => void;

/**
 * Lets connections whose input waits go on, a few in each turn of the event loop.
 *
 * If all of them went on in the same turn, the requests of other clients would wait until
 * each has passed what it may.
 */
export class InputQueue {
  readonly #waiting = new Set<ResumeInput>();
  #isScheduled = false;

  /** @param clock - monotonic clock, in milliseconds */
  constructor(private readonly clock: () => number) {}

  /**
   * Calls a function in a later turn, after those that wait already.
   *
   * @param resume - called once if it waits already
   */
  add(resume: ResumeInput): void {
    this.#waiting.add(resume);
    this.#schedule();
  }

  #schedule(): void {
    if (!this.#isScheduled && this.#waiting.size > 0) {
      this.#isScheduled = true;
      setImmediate(this.#run);
    }
  }

  readonly #run = (): void => {
    this.#isScheduled = false;
    const endMs = this.clock() + MAX_TURN_MS;
    const isOver = (): boolean => this.clock() >= endMs;
    // Those that are added again meanwhile belong to a later turn.
    [...this.#waiting].some(resume => {
      this.#waiting.delete(resume);
      resume(isOver);
      return isOver();
    });
    this.#schedule();
  };
}
