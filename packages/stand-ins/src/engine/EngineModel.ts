import { Heap } from 'heap-js';
import type { EngineModelSettings } from '@jujubecroft/settings';

import { PrefixCache } from './PrefixCache.js';

/** Request to generate one sequence. */
export interface SequenceRequest {
  readonly id: string;
  readonly promptTokens: number;
  /**
   * Identifies the prefix; sequences with the same prefix have the same hash.
   */
  readonly prefixHash: number;
  /** Length of the prompt's leading part that other sequences may share. */
  readonly prefixTokens: number;
  readonly outputTokens: number;
  /** Scheduling priority; lower values are scheduled first. */
  readonly priority: number;
  /**
   * Whether the KV cache of the prompt was imported, so that no prefill is
   * needed.
   */
  readonly imported?: boolean;
}

/** Result of one step of the batch. */
export interface StepResult {
  readonly durationMs: number;
  /** Ids of the sequences that generated one token each. */
  readonly produced: readonly string[];
  /** Ids of the sequences that completed in this step. */
  readonly finished: readonly string[];
}

interface Sequence {
  readonly request: SequenceRequest;
  readonly submissionOrder: number;
  prefillRemaining: number;
  produced: number;
  cancelled: boolean;
}

/** KV memory of a sequence, in tokens. */
const kvTokensOf = ({ request, produced }: Sequence): number =>
  request.promptTokens + produced;

/**
 * Timing model of an inference engine with continuous batching: a token budget
 * per step, chunked prefill, a priority queue of waiting sequences, bounded KV
 * memory with preemption, and a bounded prefix cache. The model has no clock:
 * the caller runs a step and then waits for the duration that it returns.
 */
export class EngineModel {
  /**
   * Factor on the duration of every step; simulates a straggler when above 1.
   */
  slowdown = 1;
  /**
   * Total number of tokens generated, including those of cancelled sequences.
   */
  generatedTokens = 0;
  readonly cache: PrefixCache;
  readonly #sequences = new Map<string, Sequence>();
  #waiting = new Heap<Sequence>(
    (a, b) =>
      a.request.priority - b.request.priority ||
      a.submissionOrder - b.submissionOrder,
  );
  #running: Sequence[] = [];
  #waitingCount = 0;
  #lastSubmissionOrder = 0;

  constructor(private readonly settings: EngineModelSettings) {
    this.cache = new PrefixCache(settings.prefixCacheTokens);
  }

  /** Number of sequences in the batch. */
  get running(): number {
    return this.#running.length;
  }

  /** Number of sequences waiting to enter the batch. */
  get waiting(): number {
    return this.#waitingCount;
  }

  get idle(): boolean {
    return this.#running.length === 0 && this.#waitingCount === 0;
  }

  /** Adds a sequence to the waiting queue. */
  submit(request: SequenceRequest): void {
    this.#lastSubmissionOrder += 1;
    const sequence: Sequence = {
      request,
      submissionOrder: this.#lastSubmissionOrder,
      prefillRemaining: 0,
      produced: 0,
      cancelled: false,
    };
    this.#sequences.set(request.id, sequence);
    this.#enqueue(sequence);
  }

  /**
   * Drops a sequence; from the next step on it takes no tokens and no memory.
   */
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

  /**
   * Drops all sequences and the prefix cache, as a crash does.
   *
   * @returns ids of the dropped sequences
   */
  reset(): readonly string[] {
    const lost = [...this.#sequences.keys()];
    this.#sequences.clear();
    this.#waiting.clear();
    this.#running = [];
    this.#waitingCount = 0;
    this.cache.clear();
    return lost;
  }

  /**
   * Runs one step of the batch: admits waiting sequences, preempts if KV memory
   * overflows, decodes one token for each prefilled sequence, and spends the
   * rest of the token budget on prefill.
   */
  step(): StepResult {
    this.#admit();
    this.#preempt();
    const decoding = this.#running.filter(
      ({ prefillRemaining }) => prefillRemaining === 0,
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

  /**
   * Moves waiting sequences into the batch while its size and KV memory allow.
   */
  #admit(): void {
    const { maxBatch, kvTokens } = this.settings;
    let usedTokens = this.#kvUsed();
    let next = this.#waiting.peek();
    while (next && this.#running.length < maxBatch) {
      if (next.cancelled) {
        this.#waiting.pop();
        next = this.#waiting.peek();
        continue;
      }
      if (
        this.#running.length > 0 &&
        usedTokens + kvTokensOf(next) > kvTokens
      ) {
        return;
      }
      this.#waiting.pop();
      this.#waitingCount -= 1;
      usedTokens += kvTokensOf(next);
      this.#start(next);
      next = this.#waiting.peek();
    }
  }

  #start(sequence: Sequence): void {
    const { prefixHash, prefixTokens, imported } = sequence.request;
    const cached = this.cache.lookUp(prefixHash, prefixTokens);
    const skipped = imported ? kvTokensOf(sequence) : cached;
    // At least the last token of the prompt is computed, since its logits give the
    // first output token.
    sequence.prefillRemaining = Math.max(1, kvTokensOf(sequence) - skipped);
    this.#running.push(sequence);
  }

  /**
   * Frees KV memory when it overflows: returns the running sequences of lowest
   * priority to the queue, which are then prefilled again.
   */
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

  /** @returns number of tokens prefilled, at most `budget` */
  #prefill(budget: number): number {
    const prefilling = this.#running.filter(
      ({ prefillRemaining }) => prefillRemaining > 0,
    );
    const left = prefilling.reduce((rest, sequence) => {
      const chunk = Math.min(rest, sequence.prefillRemaining);
      sequence.prefillRemaining -= chunk;
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
    return this.#running.reduce(
      (sum, sequence) => sum + kvTokensOf(sequence),
      0,
    );
  }
}
