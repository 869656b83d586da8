import type { EngineModelSettings } from '@jujubecroft/settings';
import type { SequenceRequest } from '@jujubecroft/stand-ins';
import { EngineModel } from '@jujubecroft/stand-ins';

import type { EventQueue } from './EventQueue.js';

/** Callbacks for one sequence, called after the network latency. */
export interface SimListener {
  readonly onToken: () => void;
  readonly onFinished: () => void;
  /** Called if the engine crashes before the sequence is complete. */
  readonly onLost: () => void;
}

interface ActiveSequence {
  readonly listener: SimListener;
  /** Whether callbacks are suppressed while the engine goes on generating. */
  silent: boolean;
}

/** Runs an engine model in virtual time. */
export class SimEngine {
  readonly model: EngineModel;
  crashed = false;
  readonly #active = new Map<string, ActiveSequence>();
  #stepping = false;

  constructor(
    private readonly events: EventQueue,
    settings: EngineModelSettings,
    private readonly latencyMs: number,
  ) {
    this.model = new EngineModel(settings);
  }

  /**
   * Queues a sequence.
   *
   * @returns false if the engine has crashed and did not accept the sequence
   */
  submit(request: SequenceRequest, listener: SimListener): boolean {
    if (this.crashed) {
      return false;
    }
    this.#active.set(request.id, { listener, silent: false });
    this.model.submit(request);
    if (!this.#stepping) {
      this.#stepping = true;
      this.#step();
    }
    return true;
  }

  /** Drops a sequence without calling its listener again. */
  cancel(id: string): void {
    this.#active.delete(id);
    this.model.cancel(id);
  }

  /**
   * Drops all sequences and refuses new ones until `crashed` is set to false.
   */
  crash(): void {
    this.crashed = true;
    this.model.reset();
    const lost = [...this.#active.values()];
    this.#active.clear();
    this.events.after(this.latencyMs, () => {
      lost.forEach(({ listener }) => {
        listener.onLost();
      });
    });
  }

  /** Permanently suppresses the callbacks of all sequences submitted so far. */
  silenceOpen(): void {
    this.#active.forEach(sequence => {
      sequence.silent = true;
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

  /** Delivers the tokens of one step to their listeners at the same time. */
  #deliver(produced: readonly string[], finished: readonly string[]): void {
    const delivered = produced
      .map(id => this.#active.get(id))
      .filter(sequence => sequence !== undefined && !sequence.silent);
    const ended = finished
      .map(id => this.#active.get(id))
      .filter(sequence => sequence !== undefined && !sequence.silent);
    finished.forEach(id => this.#active.delete(id));
    this.events.after(this.latencyMs, () => {
      delivered.forEach(sequence => {
        sequence?.listener.onToken();
      });
      ended.forEach(sequence => {
        sequence?.listener.onFinished();
      });
    });
  }
}
