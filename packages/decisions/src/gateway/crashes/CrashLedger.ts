import type { BackendServerId, RequestFingerprint } from '@jujubecroft/types';

import type { Clock } from '../../blackboard/Blackboard.js';
import type { Crash, CrashedRun, CrashNews, CrashReport } from './crashNews.js';
import { NO_CRASH_NEWS, tellCrashes } from './crashNews.js';
import { ServedContents } from './ServedContents.js';

/** Crashes after which a request is not sent on. */
export const MAX_CRASHES = 3;
/** Crashes after which a request gets a replica on which little depends. */
export const CAUTIOUS_CRASHES = 2;
/**
 * Time without another crash after which one crash less is held against a request. It
 * may be sent once more then, as to a model that was replaced meanwhile.
 */
const FORGIVE_MS = 600_000;
/** Time for which crashes are remembered at all. */
const REMEMBER_MS = 3_600_000;
/** Time for which what is new is part of every message. */
const RETELL_MS = 3000;
/** Cleared contents in a message, at most. */
const MAX_CLEARED_TOLD = 32;
/** Crashes that are remembered; the oldest go first. */
const MAX_REMEMBERED = 256;
/** Suspects of one crash; a replica has fewer slots than this. */
const MAX_SUSPECTS = 256;
/** Bytes from a replica this soon after its end may have been under way before it. */
const IN_FLIGHT_MS = 300;
/** Bytes later than this may come from the run that follows under the same id. */
const SAME_RUN_MS = 1500;

/**
 * Remembers what was lost where replicas crashed.
 *
 * Guards against a request that crashes whatever runs it: repeats come under new ids
 * at any instance, and each one takes a replica with all that runs there. What is
 * lost with several replicas one after another is no longer sent. Innocent requests are lost
 * with them too, so whatever was ever served, and the end of a run that answers again,
 * counts for nothing.
 */
export class CrashLedger {
  readonly #crashes = new Map<string, Crash>();
  readonly #bySuspect = new Map<RequestFingerprint, Set<Crash>>();
  /** Those of them that were lost in more than one. */
  readonly #repeated = new Set<RequestFingerprint>();
  readonly #served: ServedContents;
  readonly #clearedMs = new Map<RequestFingerprint, number>();
  readonly #listeners: (() => void)[] = [];
  #turn = 0;

  constructor(private readonly clock: Clock) {
    this.#served = new ServedContents();
  }

  /** Whether no crash is held against anything. */
  get isEmpty(): boolean {
    return this.#bySuspect.size === 0;
  }

  /** Adds a listener that is told whenever there is something that others should know. */
  onNews(listener: () => void): void {
    this.#listeners.push(listener);
  }

  /** @returns replicas whose crashes are held against a request's content */
  crashesOf(content: RequestFingerprint): readonly BackendServerId[] {
    return this.runsOf(content).map(({ id }) => id);
  }

  /** @returns the runs of replicas whose ends are held against a request's content */
  runsOf(content: RequestFingerprint): readonly CrashedRun[] {
    const held = [...(this.#bySuspect.get(content) ?? [])];
    const newestMs = Math.max(...held.map(({ atMs }) => atMs));
    const forgiven = Math.floor((this.clock() - newestMs) / FORGIVE_MS);
    return held.slice(Math.max(0, forgiven));
  }

  /** Contents that are not sent any more. */
  get barred(): readonly RequestFingerprint[] {
    return [...this.#repeated].filter(
      content => this.crashesOf(content).length >= MAX_CRASHES,
    );
  }

  /** Time until a barred request may be sent again, in milliseconds. */
  barredForMs(content: RequestFingerprint): number {
    const held = [...(this.#bySuspect.get(content) ?? [])];
    const newestMs = Math.max(...held.map(({ atMs }) => atMs));
    const toForgive = Math.max(0, held.length - MAX_CRASHES + 1);
    return Math.max(0, newestMs + toForgive * FORGIVE_MS - this.clock());
  }

  /**
   * Notes that an answer was lost with the run of a replica.
   *
   * @param run - that seems to have ended
   * @param content - of the request
   */
  onLost(run: CrashedRun, content: RequestFingerprint): void {
    this.#take({ ...run, ageMs: 0, goesOn: false, suspects: [content] });
  }

  /** Notes that a replica ran a request to its end. */
  onServed(content: RequestFingerprint): void {
    this.#served.add(content);
    this.#clear(content);
  }

  /** Notes bytes of a run, which show that it goes on. */
  onBytes(run: CrashedRun): void {
    const crash = this.#crashes.get(keyOf(run));
    if (!crash || crash.goesOn) {
      return;
    }
    const sinceMs = this.clock() - crash.atMs;
    if (sinceMs > IN_FLIGHT_MS && sinceMs < SAME_RUN_MS) {
      this.#withdraw(crash);
    }
  }

  /** Takes in what another instance knows. */
  onPeer({ crashes, cleared }: CrashNews): void {
    cleared.forEach(content => {
      if (this.#bySuspect.has(content)) {
        this.#served.add(content);
        this.#clear(content);
      }
    });
    crashes.forEach(report => {
      this.#take(report);
    });
  }

  /** What others should know: what is new, and by turns what is not. */
  get news(): CrashNews {
    this.#forget();
    if (this.#crashes.size === 0 && this.#clearedMs.size === 0) {
      return NO_CRASH_NEWS;
    }
    const newestMs = this.clock() - RETELL_MS;
    this.#turn += 1;
    return {
      crashes: tellCrashes([...this.#crashes.values()], {
        nowMs: this.clock(),
        newestMs,
        turn: this.#turn,
        repeated: this.#repeated,
      }),
      cleared: [...this.#clearedMs]
        .filter(([, atMs]) => atMs >= newestMs)
        .map(([content]) => content)
        .slice(-MAX_CLEARED_TOLD),
    };
  }

  #take(report: CrashReport): void {
    const { id, bornMs, ageMs } = report;
    const nowMs = this.clock();
    if (ageMs >= REMEMBER_MS) {
      return;
    }
    const key = keyOf(report);
    const known = this.#crashes.get(key);
    const crash = known ?? {
      id,
      bornMs,
      atMs: nowMs - ageMs,
      toldMs: nowMs,
      goesOn: false,
      suspects: new Set<RequestFingerprint>(),
    };
    this.#crashes.set(key, crash);
    if (crash.goesOn) {
      return;
    }
    if (report.goesOn) {
      this.#withdraw(crash);
      return;
    }
    const added = report.suspects.filter(content =>
      this.#suspect(crash, content),
    );
    if (added.length > 0 || !known) {
      crash.toldMs = nowMs;
    }
    if (added.some(content => this.#isRepeated(content))) {
      this.#tell();
    }
    this.#forget();
  }

  /** @returns whether that is news */
  #suspect(crash: Crash, content: RequestFingerprint): boolean {
    if (crash.suspects.has(content) || crash.suspects.size >= MAX_SUSPECTS) {
      return false;
    }
    crash.suspects.add(content);
    if (this.#served.has(content)) {
      this.#clearedMs.set(content, this.clock());
      return true;
    }
    const held = this.#bySuspect.get(content) ?? new Set();
    this.#bySuspect.set(content, held.add(crash));
    if (held.size >= CAUTIOUS_CRASHES) {
      this.#repeated.add(content);
    }
    return true;
  }

  /**
   * Whether a content was lost in more than one crash.
   *
   * Only of these others are told at once. Every crash has many suspects, and told
   * one by one each of them would go through the whole fleet.
   */
  #isRepeated(content: RequestFingerprint): boolean {
    return this.#repeated.has(content);
  }

  #clear(content: RequestFingerprint): void {
    if (this.#isRepeated(content)) {
      this.#clearedMs.set(content, this.clock());
      this.#tell();
    }
    this.#bySuspect.delete(content);
    this.#repeated.delete(content);
  }

  #withdraw(crash: Crash): void {
    crash.goesOn = true;
    crash.toldMs = this.clock();
    this.#release(crash);
    crash.suspects.clear();
  }

  #release(crash: Crash): void {
    crash.suspects.forEach(content => {
      const held = this.#bySuspect.get(content);
      held?.delete(crash);
      if ((held?.size ?? 0) < CAUTIOUS_CRASHES) {
        this.#repeated.delete(content);
      }
      if (held?.size === 0) {
        this.#bySuspect.delete(content);
      }
    });
  }

  #forget(): void {
    if (this.#crashes.size === 0 && this.#clearedMs.size === 0) {
      return;
    }
    const oldestMs = this.clock() - REMEMBER_MS;
    const surplus = this.#crashes.size - MAX_REMEMBERED;
    [...this.#crashes]
      .filter(([, { atMs }], place) => atMs <= oldestMs || place < surplus)
      .forEach(([key, crash]) => {
        this.#release(crash);
        this.#crashes.delete(key);
      });
    const clearedMs = this.clock() - RETELL_MS;
    [...this.#clearedMs]
      .filter(([, atMs]) => atMs < clearedMs)
      .forEach(([content]) => this.#clearedMs.delete(content));
  }

  #tell(): void {
    this.#listeners.forEach(listener => {
      listener();
    });
  }
}

function keyOf({ id, bornMs }: CrashedRun): string {
  return `${id}@${bornMs ?? ''}`;
}
