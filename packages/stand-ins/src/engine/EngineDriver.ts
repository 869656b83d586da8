import type { EngineModel, SequenceRequest } from './EngineModel.js';

/** Callbacks for the progress of one sequence. */
export interface SequenceListener {
  /** Called for each generated token with its index, counted from 0. */
  readonly onToken: (index: number) => void;
  /** Called after the last token. */
  readonly onFinished: () => void;
  /** Called when the engine crashes before the sequence is complete. */
  readonly onLost: () => void;
}

interface ActiveSequence {
  readonly listener: SequenceListener;
  /** Number of tokens generated so far. */
  produced: number;
  /** Whether callbacks are suppressed while the engine goes on generating. */
  silent: boolean;
}

/**
 * Runs an engine model in real time: each step of the model is followed by a
 * timer that lasts as long as the step is modelled to take.
 */
export class EngineDriver {
  readonly #active = new Map<string, ActiveSequence>();
  #timer: NodeJS.Timeout | null = null;
  #nextStepAtMs = 0;

  constructor(private readonly model: EngineModel) {}

  /** Queues a sequence and starts stepping the model if it is idle. */
  submit(request: SequenceRequest, listener: SequenceListener): void {
    this.#active.set(request.id, { listener, produced: 0, silent: false });
    this.model.submit(request);
    this.#startStepping();
  }

  /** Drops a sequence without calling its listener again. */
  cancel(id: string): void {
    this.#active.delete(id);
    this.model.cancel(id);
  }

  /**
   * Drops every sequence and the prefix cache, and calls `onLost` for each
   * sequence.
   */
  crash(): void {
    this.model.reset();
    const lost = [...this.#active.values()];
    this.#active.clear();
    lost.forEach(({ listener }) => {
      listener.onLost();
    });
  }

  /**
   * Permanently suppresses the callbacks of all sequences submitted so far.
   * Sequences submitted later are unaffected.
   */
  silenceOpen(): void {
    this.#active.forEach(sequence => {
      sequence.silent = true;
    });
  }

  /** Stops stepping the model. */
  stop(): void {
    if (this.#timer) {
      clearTimeout(this.#timer);
    }
    this.#timer = null;
  }

  #startStepping(): void {
    if (this.#timer) {
      return;
    }
    this.#nextStepAtMs = performance.now();
    this.#schedule();
  }

  #schedule(): void {
    const delayMs = Math.max(0, this.#nextStepAtMs - performance.now());
    this.#timer = setTimeout(() => {
      this.#step();
    }, delayMs);
  }

  #step(): void {
    this.#timer = null;
    if (this.model.idle) {
      return;
    }
    const { durationMs, produced, finished } = this.model.step();
    produced.forEach(id => {
      this.#emit(id);
    });
    finished.forEach(id => {
      this.#finish(id);
    });
    this.#nextStepAtMs += durationMs;
    this.#schedule();
  }

  #emit(id: string): void {
    const sequence = this.#active.get(id);
    if (!sequence) {
      return;
    }
    const index = sequence.produced;
    sequence.produced += 1;
    if (!sequence.silent) {
      sequence.listener.onToken(index);
    }
  }

  #finish(id: string): void {
    const sequence = this.#active.get(id);
    this.#active.delete(id);
    if (sequence && !sequence.silent) {
      sequence.listener.onFinished();
    }
  }
}
