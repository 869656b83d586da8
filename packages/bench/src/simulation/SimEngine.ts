import type { EngineModelSettings } from '@jujubecroft/settings';
import type { SequenceRequest } from '@jujubecroft/stand-ins';
import { EngineModel } from '@jujubecroft/stand-ins';

import type { EventQueue } from './EventQueue.js';

/** Hears of one sequence, after the network. */
export interface SimListener {
  readonly onToken: () => void;
  readonly onFinished: () => void;
  readonly onLost: () => void;
}

interface Live {
  readonly listener: SimListener;
  silent: boolean;
}

/** An engine model on virtual time. */
export class SimEngine {
  readonly model: EngineModel;
  crashed = false;
  readonly #live = new Map<string, Live>();
  #stepping = false;

  constructor(
    private readonly events: EventQueue,
    settings: EngineModelSettings,
    private readonly networkMs: number,
  ) {
    this.model = new EngineModel(settings);
  }

  /** @returns false when the engine refuses, so the sequence did not run */
  submit(request: SequenceRequest, listener: SimListener): boolean {
    if (this.crashed) {
      return false;
    }
    this.#live.set(request.id, { listener, silent: false });
    this.model.submit(request);
    if (!this.#stepping) {
      this.#stepping = true;
      this.#step();
    }
    return true;
  }

  cancel(id: string): void {
    this.#live.delete(id);
    this.model.cancel(id);
  }

  crash(): void {
    this.crashed = true;
    this.model.reset();
    const lost = [...this.#live.values()];
    this.#live.clear();
    this.events.after(this.networkMs, () => {
      lost.forEach(({ listener }) => {
        listener.onLost();
      });
    });
  }

  silenceOpen(): void {
    this.#live.forEach(live => {
      live.silent = true;
    });
  }

  #step(): void {
    if (this.model.idle) {
      this.#stepping = false;
      return;
    }
    const { durationMs, produced, finished } = this.model.step();
    this.events.after(durationMs, () => {
      this.#deliver(produced, finished);
      this.#step();
    });
  }

  /** Tokens of a step reach their instances together. */
  #deliver(produced: readonly string[], finished: readonly string[]): void {
    const heard = produced
      .map(id => this.#live.get(id))
      .filter(live => live !== undefined && !live.silent);
    const ended = finished
      .map(id => this.#live.get(id))
      .filter(live => live !== undefined && !live.silent);
    finished.forEach(id => this.#live.delete(id));
    this.events.after(this.networkMs, () => {
      heard.forEach(live => {
        live?.listener.onToken();
      });
      ended.forEach(live => {
        live?.listener.onFinished();
      });
    });
  }
}
