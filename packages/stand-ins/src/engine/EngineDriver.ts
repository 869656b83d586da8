import type { EngineModel, SequenceRequest } from './EngineModel.js';

/** Hears what happens to one sequence. */
export interface SequenceListener {
  readonly onToken: (index: number) => void;
  readonly onFinished: () => void;
  readonly onLost: () => void;
}

interface Live {
  readonly listener: SequenceListener;
  produced: number;
  /** An open connection that gets nothing more, while the engine works on. */
  silent: boolean;
}

/** Runs an engine model in real time. */
export class EngineDriver {
  readonly #live = new Map<string, Live>();
  #timer: NodeJS.Timeout | null = null;
  #nextAtMs = 0;

  constructor(private readonly model: EngineModel) {}

  submit(request: SequenceRequest, listener: SequenceListener): void {
    this.#live.set(request.id, { listener, produced: 0, silent: false });
    this.model.submit(request);
    this.#wake();
  }

  cancel(id: string): void {
    this.#live.delete(id);
    this.model.cancel(id);
  }

  /** Cuts every stream. */
  crash(): void {
    this.model.reset();
    const lost = [...this.#live.values()];
    this.#live.clear();
    lost.forEach(({ listener }) => {
      listener.onLost();
    });
  }

  /** Makes every open stream silent for good; later ones are not touched. */
  silenceOpen(): void {
    this.#live.forEach(live => {
      live.silent = true;
    });
  }

  stop(): void {
    if (this.#timer) {
      clearTimeout(this.#timer);
    }
    this.#timer = null;
  }

  #wake(): void {
    if (this.#timer) {
      return;
    }
    this.#nextAtMs = performance.now();
    this.#schedule();
  }

  #schedule(): void {
    const delayMs = Math.max(0, this.#nextAtMs - performance.now());
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
    this.#nextAtMs += durationMs;
    this.#schedule();
  }

  #emit(id: string): void {
    const live = this.#live.get(id);
    if (!live) {
      return;
    }
    const index = live.produced;
    live.produced += 1;
    if (!live.silent) {
      live.listener.onToken(index);
    }
  }

  #finish(id: string): void {
    const live = this.#live.get(id);
    this.#live.delete(id);
    if (live && !live.silent) {
      live.listener.onFinished();
    }
  }
}
