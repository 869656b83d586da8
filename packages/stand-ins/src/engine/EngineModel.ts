import { Heap } from 'heap-js';
import type { EngineModelSettings } from '@jujubecroft/settings';

import { PrefixCache } from './PrefixCache.js';

/** One sequence that an engine should generate. */
export interface SequenceRequest {
  readonly id: string;
  readonly promptTokens: number;
  readonly prefixHash: number;
  /** Leading part of the prompt that other sequences share. */
  readonly prefixTokens: number;
  readonly outputTokens: number;
  /** Lower is served first. */
  readonly priority: number;
  /** Whether the prompt's KV cache was imported, so that prefill is skipped. */
  readonly imported?: boolean;
}

/** What one step of the batch brought. */
export interface StepResult {
  readonly durationMs: number;
  /** Sequences that got one token each. */
  readonly produced: readonly string[];
  /** Those among them that are complete. */
  readonly finished: readonly string[];
}

interface Sequence {
  readonly request: SequenceRequest;
  readonly order: number;
  prefillLeft: number;
  produced: number;
  cancelled: boolean;
}

const kvOf = ({ request, produced }: Sequence): number =>
  request.promptTokens + produced;

/**
 * A continuously batching engine, reduced to its timing: a token budget per
 * step, prefill in chunks, priorities in the waiting line, bounded KV memory
 * with preemption, and a bounded prefix cache. It knows no clock; its owner
 * runs a step and lets the reported duration pass.
 */
export class EngineModel {
  slowdown = 1;
  generatedTokens = 0;
  readonly cache: PrefixCache;
  readonly #sequences = new Map<string, Sequence>();
  #waiting = new Heap<Sequence>(
    (a, b) => a.request.priority - b.request.priority || a.order - b.order,
  );
  #running: Sequence[] = [];
  #waitingCount = 0;
  #order = 0;

  constructor(private readonly settings: EngineModelSettings) {
    this.cache = new PrefixCache(settings.prefixCacheTokens);
  }

  get running(): number {
    return this.#running.length;
  }

  get waiting(): number {
    return this.#waitingCount;
  }

  get idle(): boolean {
    return this.#running.length === 0 && this.#waitingCount === 0;
  }

  submit(request: SequenceRequest): void {
    this.#order += 1;
    const sequence: Sequence = {
      request,
      order: this.#order,
      prefillLeft: 0,
      produced: 0,
      cancelled: false,
    };
    this.#sequences.set(request.id, sequence);
    this.#enqueue(sequence);
  }

  /** Drops a sequence; it costs nothing from the next step on. */
  cancel(id: string): void {
    const sequence = this.#sequences.get(id);
    if (!sequence) {
      return;
    }
    sequence.cancelled = true;
    this.#sequences.delete(id);
    const wasRunning = this.#running.includes(sequence);
    this.#running = this.#running.filter(other => other !== sequence);
    this.#waitingCount -= wasRunning ? 0 : 1;
  }

  /** Loses everything, as a crash does. */
  reset(): readonly string[] {
    const lost = [...this.#sequences.keys()];
    this.#sequences.clear();
    this.#waiting.clear();
    this.#running = [];
    this.#waitingCount = 0;
    this.cache.clear();
    return lost;
  }

  /** Runs one step of the batch. */
  step(): StepResult {
    this.#admit();
    this.#preempt();
    const decoding = this.#running.filter(
      ({ prefillLeft }) => prefillLeft === 0,
    );
    const prefilled = this.#prefill(
      Math.max(0, this.settings.stepTokenBudget - decoding.length),
    );
    decoding.forEach(sequence => {
      sequence.produced += 1;
    });
    this.generatedTokens += decoding.length;
    const finished = decoding.filter(
      ({ produced, request }) => produced >= request.outputTokens,
    );
    this.#finish(finished);
    return {
      durationMs: this.#durationMs(decoding.length, prefilled),
      produced: decoding.map(({ request }) => request.id),
      finished: finished.map(({ request }) => request.id),
    };
  }

  #enqueue(sequence: Sequence): void {
    this.#waiting.push(sequence);
    this.#waitingCount += 1;
  }

  #admit(): void {
    const { maxBatch, kvTokens } = this.settings;
    let used = this.#kvUsed();
    let next = this.#waiting.peek();
    while (next && this.#running.length < maxBatch) {
      if (next.cancelled) {
        this.#waiting.pop();
        next = this.#waiting.peek();
        continue;
      }
      if (this.#running.length > 0 && used + kvOf(next) > kvTokens) {
        return;
      }
      this.#waiting.pop();
      this.#waitingCount -= 1;
      used += kvOf(next);
      this.#start(next);
      next = this.#waiting.peek();
    }
  }

  #start(sequence: Sequence): void {
    const { prefixHash, prefixTokens, imported } = sequence.request;
    const cached = this.cache.use(prefixHash, prefixTokens);
    const saved = imported ? kvOf(sequence) : cached;
    // The last token of a prompt is always computed, to get the first logits.
    sequence.prefillLeft = Math.max(1, kvOf(sequence) - saved);
    this.#running.push(sequence);
  }

  /** Gives KV memory back when it overflows: the lowest priority recomputes later. */
  #preempt(): void {
    while (
      this.#running.length > 1 &&
      this.#kvUsed() > this.settings.kvTokens
    ) {
      const victim = this.#running.reduce((worst, next) =>
        next.request.priority >= worst.request.priority ? next : worst,
      );
      this.#running = this.#running.filter(other => other !== victim);
      this.#enqueue(victim);
    }
  }

  #prefill(budget: number): number {
    const inPrefill = this.#running.filter(
      ({ prefillLeft }) => prefillLeft > 0,
    );
    const left = inPrefill.reduce((rest, sequence) => {
      const chunk = Math.min(rest, sequence.prefillLeft);
      sequence.prefillLeft -= chunk;
      return rest - chunk;
    }, budget);
    return budget - left;
  }

  #finish(finished: readonly Sequence[]): void {
    if (finished.length === 0) {
      return;
    }
    finished.forEach(({ request }) => this.#sequences.delete(request.id));
    const done = new Set(finished);
    this.#running = this.#running.filter(sequence => !done.has(sequence));
  }

  #durationMs(decoded: number, prefilled: number): number {
    const { stepBaseMs, stepPerSequenceMs, prefillPerTokenMs } = this.settings;
    const work = stepPerSequenceMs * decoded + prefillPerTokenMs * prefilled;
    return (stepBaseMs + work) * this.slowdown;
  }

  #kvUsed(): number {
    return this.#running.reduce((sum, sequence) => sum + kvOf(sequence), 0);
  }
}
