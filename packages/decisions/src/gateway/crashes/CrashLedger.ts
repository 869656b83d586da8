import type {
  BackendServerId,
  InstanceId,
  PromptPartKey,
  RequestFingerprint,
} from '@jujubecroft/types';

import type { Clock } from '../../blackboard/Blackboard.js';
import type {
  Crash,
  CrashedRun,
  CrashNews,
  CrashReport,
  Suspect,
} from './crashNews.js';
import { EMPTY_CRASH_NEWS, selectCrashReports } from './crashNews.js';
import { isMassCrash } from './isMassCrash.js';
import { PartSuspects } from './parts/PartSuspects.js';
import { ServedContents } from './ServedContents.js';
import { UnprovenAnswers } from './UnprovenAnswers.js';

/**
 * Crashes after which a request is barred, that is, no longer sent to any
 * replica.
 */
export const MAX_CRASHES = 3;
/**
 * Crashes after which a request is only sent to the replica with the fewest
 * requests in flight, since these would be lost in another crash.
 */
export const MIN_SUSPECT_CRASHES = 2;
/**
 * Time without another crash after which one crash fewer counts against a
 * request. A barred request may then be sent once more, since the model that
 * crashed on it may have been replaced.
 */
const CRASH_DECAY_MS = 600_000;
/** Time for which a crash is remembered. */
const RETENTION_MS = 3_600_000;
/** Time for which a change is part of every message to other instances. */
const REBROADCAST_MS = 3000;
/** Maximum number of cleared contents in a message. */
const MAX_CLEARED_PER_MESSAGE = 32;
/** Maximum number of crashes that are remembered; the oldest are dropped first. */
const MAX_TRACKED_CRASHES = 256;
/**
 * Maximum number of suspects of one crash, and of parts of their prompts; a replica has
 * fewer slots than this.
 */
const MAX_SUSPECTS = 256;
/**
 * Bytes that arrive this soon after a replica's presumed end may have been sent
 * before it.
 */
const MAX_TRANSIT_MS = 300;
/**
 * Bytes that arrive later than this may come from the next run under the same
 * id.
 */
const SAME_RUN_WINDOW_MS = 1500;

/**
 * Records which requests were lost when replicas crashed, and bars those that
 * were lost with several replicas.
 *
 * Guards against a request that crashes every replica that runs it: callers
 * repeat it under new ids and at any instance, and each repeat takes down a
 * replica with all requests that run there. A request that was lost with
 * several replicas in succession is no longer sent. Innocent requests are lost
 * in the same crashes, so contents that were ever served are cleared, and a
 * crash is retracted if the same run answers again.
 */
export class CrashLedger {
  readonly #crashes = new Map<string, Crash>();
  readonly #crashesByContent = new Map<RequestFingerprint, Set<Crash>>();
  /** Contents that were lost in more than one crash. */
  readonly #repeated = new Set<RequestFingerprint>();
  readonly #served = new ServedContents();
  readonly #unproven: UnprovenAnswers;
  readonly #clearedAtMs = new Map<RequestFingerprint, number>();
  readonly #listeners: (() => void)[] = [];
  #messageNumber = 0;
  /** Parts of the prompts of lost requests. */
  readonly parts: PartSuspects;

  /**
   * @param clock - monotonic clock, in milliseconds
   * @param instance - this instance
   * @param countReplicas - returns the number of replicas of a replica's service
   */
  constructor(
    private readonly clock: Clock,
    instance: InstanceId,
    private readonly countReplicas: (id: BackendServerId) => number,
  ) {
    this.#unproven = new UnprovenAnswers(clock);
    this.parts = new PartSuspects(clock, instance, {
      isMassCrash: crash => isMassCrash(crash, [...this.#crashes.values()]),
      crashesOfBarred: () => this.barred.map(content => this.runsOf(content)),
    });
  }

  /**
   * Whether no crash counts against any content or prompt part, and no answer may turn
   * out to have ended in one.
   */
  get isEmpty(): boolean {
    return (
      this.#crashesByContent.size === 0 &&
      this.parts.isEmpty &&
      this.#unproven.isEmpty
    );
  }

  /**
   * Adds a listener that is called when there is something that other instances
   * should know.
   */
  onChange(listener: () => void): void {
    this.#listeners.push(listener);
    this.parts.onChange(listener);
  }

  /**
   * Finds the replicas whose crashes count against a request's content.
   *
   * @param content - fingerprint of the request
   * @returns their ids
   */
  crashesOf(content: RequestFingerprint): readonly BackendServerId[] {
    return this.runsOf(content).map(({ id }) => id);
  }

  /**
   * Finds the runs of replicas whose ends count against a request's content.
   *
   * @param content - fingerprint of the request
   * @returns the runs, without those that no longer count after a time without
   *   crashes
   */
  runsOf(content: RequestFingerprint): readonly Crash[] {
    const crashes = [...(this.#crashesByContent.get(content) ?? [])];
    const newestMs = Math.max(...crashes.map(({ atMs }) => atMs));
    const decayed = Math.floor((this.clock() - newestMs) / CRASH_DECAY_MS);
    return crashes.slice(Math.max(0, decayed));
  }

  /** Contents that are no longer sent. */
  get barred(): readonly RequestFingerprint[] {
    return [...this.#repeated].filter(
      content => this.crashesOf(content).length >= MAX_CRASHES,
    );
  }

  /** Time until a barred request may be sent again, in milliseconds. */
  barredForMs(content: RequestFingerprint): number {
    const crashes = [...(this.#crashesByContent.get(content) ?? [])];
    const newestMs = Math.max(...crashes.map(({ atMs }) => atMs));
    const decaysNeeded = Math.max(0, crashes.length - MAX_CRASHES + 1);
    return Math.max(0, newestMs + decaysNeeded * CRASH_DECAY_MS - this.clock());
  }

  /**
   * Records that an answer was lost when a replica's run ended.
   *
   * @param run - the run that presumably ended
   * @param content - fingerprint of the request
   * @param parts - parts of its prompt that other requests may share
   */
  onLost(
    { id, bornMs }: CrashedRun,
    content: RequestFingerprint,
    parts: readonly PromptPartKey[] = [],
  ): void {
    this.#merge({
      id,
      bornMs,
      ageMs: 0,
      goesOn: false,
      suspects: [content],
      parts,
      servedParts: [],
    });
  }

  /**
   * Records an answer whose end, that of its connection, also follows when the replica's
   * run ends.
   *
   * @param run - the run that answered
   * @param suspect - the request
   */
  onUnproven(run: CrashedRun, suspect: Suspect): void {
    this.#unproven.add(run, suspect);
    const crash = this.#crashes.get(keyOf(run));
    if (crash && !crash.goesOn) {
      this.#blameUnproven(run, crash.atMs);
    }
  }

  /** Records that a replica can't be reached, so that its run may have ended. */
  onUnreachable(run: CrashedRun): void {
    this.#blameUnproven(run, this.clock());
  }

  /** Clears a request that a replica ran to its end, and the parts of its prompt. */
  onServed(
    content: RequestFingerprint,
    parts: readonly PromptPartKey[] = [],
  ): void {
    this.#served.add(content);
    this.#clearContent(content);
    this.parts.onServed(parts);
  }

  /** Records bytes from a run, which may show that it has not ended. */
  onBytes(run: CrashedRun): void {
    this.#unproven
      .takeSurvived(run, this.clock() - MAX_TRANSIT_MS)
      .forEach(({ content, parts }) => {
        this.onServed(content, parts);
      });
    const crash = this.#crashes.get(keyOf(run));
    if (!crash || crash.goesOn) {
      return;
    }
    const sinceMs = this.clock() - crash.atMs;
    if (sinceMs > MAX_TRANSIT_MS && sinceMs < SAME_RUN_WINDOW_MS) {
      this.#retract(crash);
    }
  }

  /** Merges what another instance knows of crashes. */
  onPeer(news: CrashNews): void {
    const { crashes, cleared } = news;
    cleared.forEach(content => {
      if (this.#crashesByContent.has(content)) {
        this.#served.add(content);
        this.#clearContent(content);
      }
    });
    crashes.forEach(report => {
      this.#merge(report);
    });
    this.parts.onPeer(news);
  }

  /**
   * What other instances should know: recent changes, and older crashes in
   * rotation.
   */
  get news(): CrashNews {
    this.#prune();
    const partNews = this.parts.news;
    if (this.#crashes.size === 0 && this.#clearedAtMs.size === 0) {
      return { ...EMPTY_CRASH_NEWS, ...partNews };
    }
    const freshSinceMs = this.clock() - REBROADCAST_MS;
    this.#messageNumber += 1;
    return {
      crashes: selectCrashReports([...this.#crashes.values()], {
        nowMs: this.clock(),
        freshSinceMs,
        messageNumber: this.#messageNumber,
        repeated: this.#repeated,
        suspectParts: this.parts.suspects,
        servedParts: this.parts.told,
      }),
      cleared: [...this.#clearedAtMs]
        .filter(([, atMs]) => atMs >= freshSinceMs)
        .map(([content]) => content)
        .slice(-MAX_CLEARED_PER_MESSAGE),
      ...partNews,
    };
  }

  #merge(report: CrashReport): void {
    const { id, bornMs, ageMs } = report;
    const nowMs = this.clock();
    if (ageMs >= RETENTION_MS) {
      return;
    }
    const key = keyOf(report);
    const known = this.#crashes.get(key);
    const crash = known ?? {
      id,
      bornMs,
      atMs: nowMs - ageMs,
      serviceSize: this.countReplicas(id),
      updatedAtMs: nowMs,
      goesOn: false,
      suspects: new Set<RequestFingerprint>(),
      parts: new Set<PromptPartKey>(),
      servedParts: new Set<PromptPartKey>(),
    };
    this.#crashes.set(key, crash);
    if (crash.goesOn) {
      return;
    }
    if (report.goesOn) {
      this.#retract(crash);
      return;
    }
    const added = report.suspects.filter(content =>
      this.#addSuspect(crash, content),
    );
    if (!known) {
      this.#blameUnproven(report, crash.atMs);
    }
    const addsParts = this.#addParts(crash, report);
    if (added.length > 0 || addsParts || !known) {
      crash.updatedAtMs = nowMs;
    }
    if (added.some(content => this.#isRepeated(content))) {
      this.#notifyListeners();
    }
    this.#prune();
  }

  /** Counts a crash against the requests whose answers ended with it. */
  #blameUnproven(run: CrashedRun, atMs: number): void {
    this.#unproven.takeEndedWith(run, atMs).forEach(({ content, parts }) => {
      this.onLost(run, content, parts);
    });
  }

  /**
   * Adds parts of prompts to a crash.
   *
   * @returns false if it has all of them already or there are too many
   */
  #addParts(
    crash: Crash,
    { parts, servedParts }: Pick<CrashReport, 'parts' | 'servedParts'>,
  ): boolean {
    const sizeOf = (): number => crash.parts.size + crash.servedParts.size;
    const before = sizeOf();
    const room = Math.max(0, 2 * MAX_SUSPECTS - before);
    this.parts.add(crash, parts.slice(0, room), servedParts.slice(0, room));
    return sizeOf() > before;
  }

  /**
   * Adds a content to the suspects of a crash.
   *
   * @returns false if it is one already or there are too many
   */
  #addSuspect(crash: Crash, content: RequestFingerprint): boolean {
    if (crash.suspects.has(content) || crash.suspects.size >= MAX_SUSPECTS) {
      return false;
    }
    crash.suspects.add(content);
    if (this.#served.has(content)) {
      this.#clearedAtMs.set(content, this.clock());
      return true;
    }
    const crashes = this.#crashesByContent.get(content) ?? new Set();
    this.#crashesByContent.set(content, crashes.add(crash));
    if (crashes.size >= MIN_SUSPECT_CRASHES) {
      this.#repeated.add(content);
    }
    return true;
  }

  /**
   * Whether a content was lost in more than one crash.
   *
   * Only changes to such contents are announced at once. Every crash has many
   * suspects, and announcing each of them would flood the fleet with messages.
   */
  #isRepeated(content: RequestFingerprint): boolean {
    return this.#repeated.has(content);
  }

  #clearContent(content: RequestFingerprint): void {
    if (this.#isRepeated(content)) {
      this.#clearedAtMs.set(content, this.clock());
      this.#notifyListeners();
    }
    this.#crashesByContent.delete(content);
    this.#repeated.delete(content);
  }

  #retract(crash: Crash): void {
    crash.goesOn = true;
    crash.updatedAtMs = this.clock();
    this.#unlinkSuspects(crash);
    crash.suspects.clear();
  }

  #unlinkSuspects(crash: Crash): void {
    this.parts.remove(crash);
    crash.suspects.forEach(content => {
      const crashes = this.#crashesByContent.get(content);
      crashes?.delete(crash);
      if ((crashes?.size ?? 0) < MIN_SUSPECT_CRASHES) {
        this.#repeated.delete(content);
      }
      if (crashes?.size === 0) {
        this.#crashesByContent.delete(content);
      }
    });
  }

  #prune(): void {
    if (this.#crashes.size === 0 && this.#clearedAtMs.size === 0) {
      return;
    }
    const oldestMs = this.clock() - RETENTION_MS;
    const surplus = this.#crashes.size - MAX_TRACKED_CRASHES;
    [...this.#crashes]
      .filter(([, { atMs }], place) => atMs <= oldestMs || place < surplus)
      .forEach(([key, crash]) => {
        this.#unlinkSuspects(crash);
        this.#crashes.delete(key);
      });
    const oldestClearedMs = this.clock() - REBROADCAST_MS;
    [...this.#clearedAtMs]
      .filter(([, atMs]) => atMs < oldestClearedMs)
      .forEach(([content]) => this.#clearedAtMs.delete(content));
  }

  #notifyListeners(): void {
    this.#listeners.forEach(listener => {
      listener();
    });
  }
}

function keyOf({ id, bornMs }: CrashedRun): string {
  return `${id}@${bornMs ?? ''}`;
}
