import { Heap } from 'heap-js';

/**
 * Order in which an event loop comes to what is due at one time: timers first, then
 * what has arrived, then what waits for that.
 */
export type LoopPhase = 'check' | 'read' | 'timer';

const PHASES: readonly LoopPhase[] = ['timer', 'read', 'check'];

interface ScheduledTask {
  readonly atMs: number;
  readonly phase: number;
  readonly order: number;
  readonly process: VirtualProcess | null;
  readonly run: () => void;
}

/** Lets go on whoever awaits what has been done. */
function flushPromises(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

/** A process that has no processor now and then. */
export class VirtualProcess {
  stalledUntilMs = 0;
}

/** One clock for many processes; what is due while one is held up waits for it. */
export class VirtualTime {
  #nowMs = 0;
  #order = 0;
  readonly #due = new Heap<ScheduledTask>(
    (a, b) => a.atMs - b.atMs || a.phase - b.phase || a.order - b.order,
  );

  get nowMs(): number {
    return this.#nowMs;
  }

  /**
   * @param process - that does it; null for what needs no processor
   * @returns how to call it off
   */
  after(
    ms: number,
    run: () => void,
    process: VirtualProcess | null = null,
    phase: LoopPhase = 'timer',
  ): () => void {
    let isOff = false;
    this.#order += 1;
    this.#due.push({
      atMs: this.#nowMs + ms,
      phase: PHASES.indexOf(phase),
      order: this.#order,
      process,
      run: () => {
        if (!isOff) {
          run();
        }
      },
    });
    return () => {
      isOff = true;
    };
  }

  /** Lets time pass, with all that awaits it. */
  async run(ms: number): Promise<void> {
    const untilMs = this.#nowMs + ms;
    await flushPromises();
    let next = this.#due.peek();
    while (next && next.atMs <= untilMs) {
      this.#due.pop();
      const heldUntilMs = next.process?.stalledUntilMs ?? 0;
      if (heldUntilMs > next.atMs) {
        this.#due.push({ ...next, atMs: heldUntilMs });
      } else {
        this.#nowMs = next.atMs;
        next.run();
        await flushPromises();
      }
      next = this.#due.peek();
    }
    this.#nowMs = untilMs;
  }
}
