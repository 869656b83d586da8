import type { InstanceId, PromptPartKey } from '@jujubecroft/types';

import type { Clock } from '../../../blackboard/Blackboard.js';
import type { GatewayRequest } from '../../BackendLoad.js';
import type { Crash, CrashedRun } from '../crashNews.js';
import { groupJointCrashes } from './groupJointCrashes.js';
import { hasOtherCause } from './hasOtherCause.js';
import type { PartVerdict } from './judgePart.js';
import { judgePart, MIN_SUSPECT_CRASHES } from './judgePart.js';
import type { PartNews } from './partNews.js';
import { EMPTY_PART_NEWS } from './partNews.js';
import { PartTrials } from './PartTrials.js';
import { ServedParts } from './ServedParts.js';

/** Time for which a question or an answer is part of every message. */
const REBROADCAST_MS = 3000;
/** Maximum number of questions, and of answers, in a message; the newest are chosen. */
const MAX_PER_MESSAGE = 32;
/**
 * Number of crashes that one service outweighs, of which those that happened together
 * count as one. A part that crashes most of its replicas, but not all, is barred as well.
 */
const MAX_OUTWEIGHED = 2;
/** Time from the last crash to the trial of a part that can't be told from another. */
const AMBIGUOUS_TRIAL_DELAY_MS = 1000;
/** Time by which a request with several barred parts waits longer for each of them. */
const FURTHER_PART_DELAY_MS = 5000;
/** Shortest retry delay of a request with a barred part. */
const MIN_RETRY_AFTER_MS = 1000;

/** What is known of crashes besides the parts that were lost in them. */
interface CrashFacts {
  /** Whether many replicas crashed together with one. */
  readonly isMassCrash: (crash: Crash) => boolean;
  /** Returns for each barred request the crashes that count against it. */
  readonly crashesOfBarred: () => readonly (readonly Crash[])[];
}

type PartOwner = Pick<GatewayRequest, 'id' | 'partKeys'>;

/**
 * Judges prompt parts by the crashes that requests with them were lost in.
 *
 * Guards against requests that crash every replica that runs them and have one part of
 * their prompts in common: none of them repeats, so that their contents are never known.
 */
export class PartSuspects {
  /** Crashes that requests with a part were lost in and that no service outweighs. */
  readonly #crashes = new Map<PromptPartKey, Set<Crash>>();
  /** Parts with so many crashes that they may be suspect. */
  readonly #candidates = new Set<PromptPartKey>();
  readonly #served = new ServedParts();
  readonly #trials: PartTrials;
  /** Since when this instance asks others whether they have served a part. */
  readonly #askedAtMs = new Map<PromptPartKey, number>();
  /** Since when others are told that a part was served. */
  readonly #toldAtMs = new Map<PromptPartKey, number>();
  readonly #listeners: (() => void)[] = [];

  /**
   * @param clock - monotonic clock, in milliseconds
   * @param instance - this instance
   * @param facts - what is known of crashes besides
   */
  constructor(
    private readonly clock: Clock,
    instance: InstanceId,
    private readonly facts: CrashFacts,
  ) {
    this.#trials = new PartTrials(clock, instance);
  }

  /** Whether no crash counts against any part. */
  get isEmpty(): boolean {
    return this.#crashes.size === 0;
  }

  /**
   * Adds a listener that is called when there is something that other instances should
   * know.
   */
  onChange(listener: () => void): void {
    this.#listeners.push(listener);
  }

  /** Updates the set of live instances. */
  onInstances(live: readonly InstanceId[]): void {
    this.#trials.onInstances(live);
  }

  /** Parts that are no longer sent. */
  get barred(): readonly PromptPartKey[] {
    return this.#partsWith(({ isBarred }) => isBarred);
  }

  /** Parts that are suspect or barred. */
  get suspects(): readonly PromptPartKey[] {
    return this.#partsWith(({ isSuspect }) => isSuspect);
  }

  /** Judges a part by what is known at this moment. */
  judge(part: PromptPartKey): PartVerdict {
    return judgePart({
      groups: groupJointCrashes(this.#countedCrashesOf(part)).map(group => ({
        count: group.length,
        isMassCrash: group.some(crash => this.facts.isMassCrash(crash)),
        lastMs: group.at(-1)?.atMs ?? -Infinity,
      })),
      wasServed: this.#served.has(part),
    });
  }

  /**
   * Finds the runs of replicas whose ends count against a part.
   *
   * @returns the runs; none if the part is not suspect
   */
  runsOf(part: PromptPartKey): readonly CrashedRun[] {
    return this.judge(part).isSuspect ? this.#countedCrashesOf(part) : [];
  }

  /** The suspect parts of a request, barred ones included. */
  suspectsOf(request: PartOwner): readonly PromptPartKey[] {
    return this.isEmpty
      ? []
      : request.partKeys().filter(part => this.judge(part).isSuspect);
  }

  /**
   * Whether a request must not reach a replica.
   *
   * @returns true if it has a barred part and is not the trial of that part
   */
  isBarred(request: PartOwner): boolean {
    return this.#barredPartsOf(request).some(
      part => !this.#trials.isTrial(part, request.id),
    );
  }

  /**
   * Whether a request may be placed: none of its parts is barred, or it may be the trial
   * of those that are.
   */
  mayPlace(request: PartOwner): boolean {
    const barred = this.#barredPartsOf(request);
    return barred.every(
      part =>
        this.#trials.isTrial(part, request.id) ||
        (!this.#trials.isRunning(part) &&
          this.#turnMs(part, barred.length) <= this.clock()),
    );
  }

  /** Records that a request is sent, as the trial of parts that are barred. */
  onSent(request: PartOwner): void {
    this.#barredPartsOf(request).forEach(part => {
      this.#trials.begin(part, request.id);
    });
  }

  /** Time until a request with barred parts may be sent again, in milliseconds. */
  retryAfterMs(request: PartOwner): number {
    const barred = this.#barredPartsOf(request);
    const turns = barred.map(part => this.#turnMs(part, barred.length));
    return Math.max(
      MIN_RETRY_AFTER_MS,
      ...turns.map(atMs => atMs - this.clock()),
    );
  }

  /**
   * Adds what is known of a crash to the evidence on parts.
   *
   * @param crash - the crash
   * @param parts - parts of requests that were lost in it
   * @param served - parts of requests that were served after it
   */
  add(
    crash: Crash,
    parts: readonly PromptPartKey[],
    served: readonly PromptPartKey[],
  ): void {
    const cleared = served.filter(part => this.#clear(crash, part));
    const added = parts.filter(part => this.#link(crash, part));
    const suspects = added.filter(part => this.judge(part).isSuspect);
    suspects.forEach(part => {
      this.#askedAtMs.set(part, this.clock());
    });
    cleared.forEach(part => this.#toldAtMs.set(part, this.clock()));
    if (suspects.length > 0 || cleared.length > 0) {
      this.#notifyListeners();
    }
  }

  /**
   * Counts a crash against a part, unless a service has followed it.
   *
   * @returns false if it is counted already, or isn't counted
   */
  #link(crash: Crash, part: PromptPartKey): boolean {
    if (crash.parts.has(part)) {
      return false;
    }
    crash.parts.add(part);
    if (crash.servedParts.has(part)) {
      return false;
    }
    if (this.#served.lastOwnMs(part) >= crash.atMs) {
      crash.servedParts.add(part);
      return false;
    }
    const crashes = this.#crashes.get(part) ?? new Set();
    this.#crashes.set(part, crashes.add(crash));
    if (crashes.size >= MIN_SUSPECT_CRASHES) {
      this.#candidates.add(part);
    }
    this.#trials.end(part);
    return true;
  }

  /**
   * Counts a crash no longer against a part that was served after it.
   *
   * Services refer to crashes and not to times: ages that are passed on from instance to
   * instance lose the time in transit, so that a service would seem to follow crashes
   * that came after it.
   *
   * @returns whether that clears a suspect
   */
  #clear(crash: Crash, part: PromptPartKey): boolean {
    if (crash.servedParts.has(part)) {
      return false;
    }
    const wasSuspect = this.#crashes.has(part) && this.judge(part).isSuspect;
    crash.servedParts.add(part);
    this.#served.addRemote(part);
    this.#unlink(crash, part);
    return wasSuspect;
  }

  #unlink(crash: Crash, part: PromptPartKey): void {
    const crashes = this.#crashes.get(part);
    if (crashes?.delete(crash) !== true) {
      return;
    }
    if (crashes.size < MIN_SUSPECT_CRASHES) {
      this.#candidates.delete(part);
    }
    if (crashes.size === 0) {
      this.#crashes.delete(part);
    }
  }

  /** Removes a crash from the evidence. */
  remove(crash: Crash): void {
    crash.parts.forEach(part => {
      this.#unlink(crash, part);
    });
    crash.parts.clear();
  }

  /** Records that this instance has served a request with these parts. */
  onServed(parts: readonly PromptPartKey[]): void {
    parts.forEach(part => {
      const crashes = groupJointCrashes(this.#crashesOf(part))
        .slice(-MAX_OUTWEIGHED)
        .flat();
      const cleared = crashes.filter(crash => this.#clear(crash, part));
      this.#served.add(part, this.clock());
      if (crashes.length > 0) {
        this.#trials.end(part);
      }
      if (cleared.length > 0) {
        this.#tell(part);
      }
    });
  }

  /** Merges what another instance asks and knows. */
  onPeer({ asked, served }: PartNews): void {
    served.forEach(part => {
      const isNews = !this.#served.has(part) && this.#candidates.has(part);
      this.#served.addRemote(part);
      if (isNews) {
        this.#tell(part);
      }
    });
    asked
      .filter(part => this.#served.has(part) && !this.#toldAtMs.has(part))
      .forEach(part => {
        this.#tell(part);
      });
  }

  /** Parts that others asked about of late and that were served. */
  get told(): readonly PromptPartKey[] {
    return [...this.#toldAtMs.keys()].slice(-MAX_PER_MESSAGE);
  }

  /** What other instances should know besides crashes. */
  get news(): PartNews {
    if (this.#askedAtMs.size === 0 && this.#toldAtMs.size === 0) {
      return EMPTY_PART_NEWS;
    }
    const oldestMs = this.clock() - REBROADCAST_MS;
    [this.#askedAtMs, this.#toldAtMs].forEach(times => {
      [...times]
        .filter(([, atMs]) => atMs <= oldestMs)
        .forEach(([part]) => times.delete(part));
    });
    return {
      asked: [...this.#askedAtMs.keys()]
        .filter(part => this.judge(part).isSuspect)
        .slice(-MAX_PER_MESSAGE),
      served: this.told,
    };
  }

  #tell(part: PromptPartKey): void {
    this.#toldAtMs.set(part, this.clock());
    this.#notifyListeners();
  }

  #crashesOf(part: PromptPartKey): readonly Crash[] {
    return [...(this.#crashes.get(part) ?? [])].sort((a, b) => a.atMs - b.atMs);
  }

  /** The crashes of a part but those that a barred request has likely caused. */
  #countedCrashesOf(part: PromptPartKey): readonly Crash[] {
    const crashes = this.#crashesOf(part);
    if (crashes.length === 0) {
      return crashes;
    }
    const ofBarred = this.facts.crashesOfBarred();
    return crashes.filter(crash => !hasOtherCause(crash, part, ofBarred));
  }

  #barredPartsOf(request: PartOwner): readonly PromptPartKey[] {
    return this.isEmpty
      ? []
      : request.partKeys().filter(part => this.judge(part).isBarred);
  }

  /**
   * When this instance may send a request with a barred part as its trial, on the local
   * clock.
   *
   * Parts that were lost in the same crashes can't be told apart, and all but one of them
   * may be sound. Requests with one of them are therefore tried soon. Those with several
   * wait, as their loss would tell less.
   *
   * @param part - the part
   * @param barredParts - number of barred parts of the request
   */
  #turnMs(part: PromptPartKey, barredParts: number): number {
    const { trialAtMs } = this.judge(part);
    if (trialAtMs === null) {
      return -Infinity;
    }
    const isSoon = barredParts === 1 && this.#isAmbiguous(part);
    const lastMs = this.#countedCrashesOf(part).at(-1)?.atMs ?? -Infinity;
    return this.#trials.turnMs(
      part,
      isSoon
        ? Math.min(trialAtMs, lastMs + AMBIGUOUS_TRIAL_DELAY_MS)
        : trialAtMs + (barredParts - 1) * FURTHER_PART_DELAY_MS,
    );
  }

  /** Whether another barred part was lost in the same crashes. */
  #isAmbiguous(part: PromptPartKey): boolean {
    const crashes = this.#crashes.get(part);
    return [...this.#candidates].some(other => {
      const theirs = this.#crashes.get(other);
      return (
        other !== part &&
        theirs?.size === crashes?.size &&
        [...(theirs ?? [])].every(crash => crashes?.has(crash)) &&
        this.judge(other).isBarred
      );
    });
  }

  #partsWith(
    matches: (verdict: PartVerdict) => boolean,
  ): readonly PromptPartKey[] {
    return [...this.#candidates].filter(part => matches(this.judge(part)));
  }

  #notifyListeners(): void {
    this.#listeners.forEach(listener => {
      listener();
    });
  }
}
