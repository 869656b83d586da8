import { Heap } from 'heap-js';

/**
 * Phases of an event loop turn: at equal times, timers run first, then reads of
 * received data, then callbacks that wait for these reads.
 */
export type LoopPhase = 'check' | 'read' | 'timer';

const PHASES: readonly LoopPhase[] = ['timer', 'read', 'check'];

interface ScheduledTask {
  readonly atMs: number;
  /** Index in `PHASES`. */
  readonly phase: number;
  /** Number of the task, which keeps the order of scheduling within a phase. */
  readonly order: number;
  /** Null if the task needs no processor. */
  readonly process: VirtualProcess | null;
  readonly run: () => void;
}

/** Waits until all promise callbacks that are ready have run. */
function flushPromises(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

/** A process that may be stalled, and runs no tasks meanwhile. */
export class VirtualProcess {
  /** Virtual time until which the process is stalled; infinite once it has ended. */
  stalledUntilMs = 0;
}

/**
 * A virtual clock for many processes; tasks of a stalled process run when it resumes.
 */
export class VirtualTime {
  #nowMs = 0;
  #order = 0;
  readonly #tasks = new Heap<ScheduledTask>(
    (a, b) => a.atMs - b.atMs || a.phase - b.phase || a.order - b.order,
  );

  /** The virtual time, in milliseconds. */
  get nowMs(): number {
    return this.#nowMs;
  }

  /**
   * Schedules a task.
   *
   * @param ms - delay in milliseconds
   * @param run - the task
   * @param process - process that runs the task; null if the task needs no processor
   * @param phase - phase of the event loop in which it runs
   * @returns a function that cancels the task
   */
  after(
    ms: number,
    run: () => void,
    process: VirtualProcess | null = null,
    phase: LoopPhase = 'timer',
  ): () => void {
    let isCancelled = false;
    this.#order += 1;
    this.#tasks.push({
      atMs: this.#nowMs + ms,
      phase: PHASES.indexOf(phase),
      order: this.#order,
      process,
      run: () => {
        if (!isCancelled) {
          run();
        }
      },
    });
    return () => {
      isCancelled = true;
    };
  }

  /**
   * Advances the time and runs all tasks that become due, with their promise callbacks.
   */
  async run(ms: number): Promise<void> {
    const untilMs = this.#nowMs + ms;
    await flushPromises();
    let next = this.#tasks.peek();
    while (next && next.atMs <= untilMs) {
      this.#tasks.pop();
      const stalledUntilMs = next.process?.stalledUntilMs ?? 0;
      if (stalledUntilMs > next.atMs) {
        this.#tasks.push({ ...next, atMs: stalledUntilMs });
      } else {
        this.#nowMs = next.atMs;
        next.run();
        await flushPromises();
      }
      next = this.#tasks.peek();
    }
    this.#nowMs = untilMs;
  }
}
