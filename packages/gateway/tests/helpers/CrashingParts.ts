import type { PromptPartKey, RequestFingerprint } from '@jujubecroft/types';
import { brand, createRandom } from '@jujubecroft/types';

import type { RequestOutcome } from './VirtualFleet.js';
import { VirtualFleet } from './VirtualFleet.js';

const REPLICAS = 12;
const ANSWER_MS = 300;
/** Time from the start of a request at a replica to the crash that it causes. */
const CRASH_AFTER_MS = 60;
const RETRY_DELAY_MS = 50;
const MAX_TRIES = 3;
const MEAN_INTERVAL_MS = 20;
/** Number of parts in the second place of the prompts. */
const SUBJECTS = 40;

/** Part that all prompts of the route begin with. */
const COMMON_PART = partKey('common');

/** The load of a fleet, and what crashes its replicas. */
export interface CrashingLoad {
  readonly instances: number;
  readonly seed: number;
  readonly forMs: number;
  /** Time within which all instances must know a crash. */
  readonly propagationMs: number;
  /** Parts that crash replicas. */
  readonly poison: readonly PromptPartKey[];
  /** Share of the requests that have one of these parts. */
  readonly share: number;
  /** Place of such a part in a prompt. */
  readonly place: 'beforeLast' | 'first' | 'second';
  /** Probability that a replica crashes when it runs such a request; 1 if omitted. */
  readonly crashProbability?: number;
  /** Time from which these parts crash replicas; 0 if omitted. */
  readonly crashesFromMs?: number;
  /** Mean interval between crashes that no request causes; none if omitted. */
  readonly meanOtherCrashMs?: number;
  /** Share of the replicas that crash together then; one replica if omitted. */
  readonly jointShare?: number;
}

/** What became of the requests. */
export interface CrashingOutcome {
  /** Replicas that requests crashed. */
  readonly crashes: number;
  /**
   * Requests that reached a replica after all instances must have known the fifth crash
   * by the same part; of several parts, the one with most.
   */
  readonly late: number;
  /** Other requests by what became of their first try. */
  readonly sound: Readonly<Record<'answered' | 'barred' | 'other', number>>;
}

/** @returns the key of a part, from its name */
export function partKey(name: string): PromptPartKey {
  return brand<PromptPartKey>(
    Buffer.from(name.padEnd(8, '.')).toString('hex').slice(0, 16),
  );
}

/** Sends requests of one route to a fleet, some of which crash the replicas they run at. */
export class CrashingParts {
  readonly fleet: VirtualFleet;
  readonly #random: () => number;
  readonly #crashedAtMs = new Map<PromptPartKey, number[]>();
  readonly #reachedAtMs = new Map<PromptPartKey, number[]>();
  readonly #sound = { answered: 0, barred: 0, other: 0 };
  #count = 0;

  constructor(private readonly load: CrashingLoad) {
    const { instances, seed } = load;
    this.fleet = new VirtualFleet({
      instances,
      replicas: REPLICAS,
      loss: 0.02,
      meanStallMs: 100,
      meanStallIntervalMs: 500,
      freshWithinMs: 3000,
      answerMs: ANSWER_MS,
      seed,
    });
    this.#random = createRandom(seed);
  }

  /** Runs the load to its end. */
  async run(): Promise<CrashingOutcome> {
    await this.fleet.start();
    await this.runFor(this.load.forMs);
    return this.outcome;
  }

  /** Runs the load for a time. */
  async runFor(ms: number): Promise<void> {
    const { time } = this.fleet;
    const { meanOtherCrashMs = Infinity } = this.load;
    const untilMs = time.nowMs + ms;
    while (time.nowMs < untilMs) {
      this.#sendNext();
      const pauseMs = 2 * MEAN_INTERVAL_MS * this.#random();
      if (this.#random() < pauseMs / meanOtherCrashMs) {
        this.#crashAny();
      }
      await time.run(pauseMs);
    }
  }

  get outcome(): CrashingOutcome {
    const late = this.load.poison.map(part => {
      const fifthMs = this.#crashedAtMs.get(part)?.[4] ?? Infinity;
      const reached = this.#reachedAtMs.get(part) ?? [];
      return reached.filter(atMs => atMs > fifthMs + this.load.propagationMs);
    });
    return {
      crashes: [...this.#crashedAtMs.values()].flat().length,
      late: Math.max(...late.map(({ length }) => length)),
      sound: this.#sound,
    };
  }

  #sendNext(): void {
    this.#count += 1;
    const { poison, share } = this.load;
    const subject = partKey(`s-${Math.floor(SUBJECTS * this.#random())}`);
    const fingerprint = brand<RequestFingerprint>(
      `ff${this.#count.toString(16).padStart(14, '0')}`,
    );
    if (this.#random() >= share) {
      void this.#sendSound(fingerprint, [COMMON_PART, subject], 1);
      return;
    }
    const part = poison[this.#count % poison.length];
    if (part) {
      void this.#sendCrashing(fingerprint, part, this.#insert(part, subject));
    }
  }

  #insert(part: PromptPartKey, subject: PromptPartKey): PromptPartKey[] {
    switch (this.load.place) {
      case 'first':
        return [part, COMMON_PART, subject];
      case 'second':
        return [COMMON_PART, part, subject];
      case 'beforeLast':
        return [COMMON_PART, subject, part];
    }
  }

  #sendTo(
    fingerprint: RequestFingerprint,
    parts: readonly PromptPartKey[],
  ): Promise<RequestOutcome> {
    const index = Math.floor(this.#random() * this.load.instances);
    return this.fleet.sendRequest(index, fingerprint, parts);
  }

  async #sendSound(
    fingerprint: RequestFingerprint,
    parts: readonly PromptPartKey[],
    tries: number,
  ): Promise<void> {
    const sent = await this.#sendTo(fingerprint, parts);
    const outcome = sent.kind === 'sent' ? (await sent.ended).kind : sent.code;
    if (tries === 1 || outcome === 'crashesBackends') {
      this.#sound[kindOf(outcome)] += 1;
    }
    if (outcome !== 'answered' && tries < MAX_TRIES) {
      this.fleet.time.after(RETRY_DELAY_MS, () => {
        void this.#sendSound(fingerprint, parts, tries + 1);
      });
    }
  }

  async #sendCrashing(
    fingerprint: RequestFingerprint,
    part: PromptPartKey,
    parts: readonly PromptPartKey[],
  ): Promise<void> {
    const { crashProbability = 1, crashesFromMs = 0 } = this.load;
    const sent = await this.#sendTo(fingerprint, parts);
    if (sent.kind === 'refused' || this.fleet.hasCrashed(sent.replica)) {
      return;
    }
    const { time } = this.fleet;
    if (time.nowMs < crashesFromMs || this.#random() >= crashProbability) {
      return;
    }
    addTo(this.#reachedAtMs, part, time.nowMs);
    time.after(CRASH_AFTER_MS, () => {
      if (!this.fleet.hasCrashed(sent.replica)) {
        addTo(this.#crashedAtMs, part, time.nowMs);
        this.fleet.crash(sent.replica);
      }
    });
  }

  /** Crashes replicas that requests have reached, whatever runs there. */
  #crashAny(): void {
    const { jointShare = 0 } = this.load;
    const running = [
      ...new Set(this.fleet.arrivals.slice(-50).map(({ replica }) => replica)),
    ].filter(id => !this.fleet.hasCrashed(id));
    const start = Math.floor(running.length * this.#random());
    [...running.slice(start), ...running.slice(0, start)]
      .slice(0, Math.max(1, Math.round(REPLICAS * jointShare)))
      .forEach(id => this.fleet.crash(id));
  }
}

function kindOf(outcome: string): 'answered' | 'barred' | 'other' {
  if (outcome === 'crashesBackends') {
    return 'barred';
  }
  return outcome === 'answered' ? 'answered' : 'other';
}

function addTo(
  times: Map<PromptPartKey, number[]>,
  part: PromptPartKey,
  atMs: number,
): void {
  times.set(part, [...(times.get(part) ?? []), atMs]);
}
