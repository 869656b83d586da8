import type {
  OrganisationId,
  PromptFacts,
  Replica,
  RequestFingerprint,
  RequestId,
  Route,
  RoutedService,
} from '@jujubecroft/types';

import type { Clock } from '../blackboard/Blackboard.js';
import type { HashedId } from '../util/byHash.js';
import { hashed } from '../util/byHash.js';
import type { CacheFetch } from './placement/PlacementPolicy.js';
import { PromptMemory } from './PromptMemory.js';
import { ReplicaHealth } from './ReplicaHealth.js';

/** What decisions need to know of one caller's request. */
export interface GatewayRequest {
  readonly id: RequestId;
  readonly route: Route;
  readonly service: RoutedService;
  /** Null on public routes. */
  readonly organisation: OrganisationId | null;
  /** Place in the order of urgency of the service; 0 goes first. */
  readonly priority: number;
  /** Null where the request has no prompt. */
  readonly prompt: PromptFacts | null;
  readonly arrivedMs: number;
  /** When the answer must have ended, on the local clock. */
  readonly deadlineMs: number;
  /** Whether the caller was turned away before, as far as its time left tells. */
  readonly cameBack: boolean;
  /** Works out the fingerprint of its content, which is seldom needed. */
  readonly fingerprint: () => RequestFingerprint;
}

/** One request at one replica. */
export interface GatewayAttempt {
  readonly request: GatewayRequest;
  readonly load: BackendLoad;
  /** 1 for the first. */
  readonly number: number;
  /** The same, counting only attempts that left this instance. */
  readonly sentNumber: number;
  readonly sentMs: number;
  /** Prompt tokens that the replica has to read for this request. */
  readonly unreadTokens: number;
  /** Prompt tokens to be read there up to the end of this request. */
  readonly tokensAhead: number;
  /** Whether it steps behind what can still be on time. */
  readonly isDeferred: boolean;
  /** At which the replica serves it; 0 first. */
  readonly rank: number;
  /** What the replica copies from another one first; null where nothing. */
  readonly fetch: CacheFetch | null;
  readonly predictedMs: number;
  /** Pieces of the answer that came so far. */
  pieces: number;
  /** Attempts that were sent there later, are no more urgent and began before it. */
  overtaken: number;
  firstByteMs: number | null;
  lastByteMs: number | null;
}

/** What other instances run on a replica, summed over them. */
export interface PeerUse {
  readonly inFlight: number;
  /** Prompt tokens that are not read yet, by the rank of their requests. */
  readonly unreadByRank: readonly number[];
}

export const NO_PEER_USE: PeerUse = { inFlight: 0, unreadByRank: [] };

/** Load that a replica told in an answer. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** A load report with the time at which the replica told it, on the local clock. */
export interface TimedReport {
  /** Requests that run or wait at the replica, of all instances. */
  readonly total: number;
  readonly atMs: number;
}

/** What a replica said of the requests that it takes, on the local clock. */
export interface NamedLimit {
  /** Requests a second from all instances together; null for no limit. */
  readonly perS: number | null;
  readonly atMs: number;
}

/** Time for which a reported load says something of the present. */
const REPORT_MAX_AGE_MS = 1000;
/** Stands for all priorities where a replica serves in the order of arrival. */
export const ONE_QUEUE = 0;
/** Weight of the newest sample of a replica's slowness. */
const SLOWNESS_WEIGHT = 0.15;
/** Weight of the newest pause in the pace of a replica's streams. */
const PACE_WEIGHT = 0.03;
/** Pause between pieces assumed before any came, in milliseconds. */
const PRIOR_PACE_MS = 30;
const MIN_SLOWNESS = 0.5;
const MAX_SLOWNESS = 8;
/** Cache size assumed where the configuration doesn't tell one, in tokens. */
const DEFAULT_CACHE_TOKENS = 200_000;

/** Everything that this instance knows of the use of one replica. */
export class BackendLoad {
  readonly attempts = new Set<GatewayAttempt>();
  readonly health: ReplicaHealth;
  readonly memory: PromptMemory;
  /** Place in the order of hashes, which is compared for every request. */
  readonly hashedId: HashedId;
  replica: Replica;
  peers: PeerUse = NO_PEER_USE;
  /** Whether that is scaled up from a few instances that were heard of. */
  peersAreSample = false;
  /**
   * Pause between pieces of a stream, smoothed, in milliseconds. It grows many
   * times over while a replica reads prompts without a break.
   */
  paceMs = PRIOR_PACE_MS;
  lastByteMs = -Infinity;
  #report: TimedReport | null = null;
  #limit: NamedLimit | null = null;
  readonly #slowness = new Map<number, number>();

  constructor(
    replica: Replica,
    service: RoutedService | undefined,
    private readonly clock: Clock,
  ) {
    this.replica = replica;
    this.hashedId = hashed(replica.id);
    this.health = new ReplicaHealth(clock);
    this.memory = new PromptMemory(
      service?.engine?.kvCapacityTokens ?? DEFAULT_CACHE_TOKENS,
    );
  }

  /** Attempts of this instance that have not ended. */
  get inFlight(): number {
    return this.attempts.size;
  }

  /**
   * Attempts of all instances, as far as known.
   *
   * Guards against crowding a replica whose other users this instance doesn't
   * hear of, as when instances are cut off from each other: the replica's own
   * report counts them all, though it is only as fresh as the last answer that
   * any instance got there. Where peers are a sample, the report alone counts: a
   * few instances scaled up say little of one replica.
   */
  get totalInFlight(): number {
    const report = this.freshReport;
    if (!report) {
      return this.inFlight + this.peers.inFlight;
    }
    const reported = this.#reportedOthers(report);
    const others = this.peersAreSample
      ? reported
      : Math.max(this.peers.inFlight, reported);
    return this.inFlight + others;
  }

  #reportedOthers(report: TimedReport): number {
    const ownThen = [...this.attempts].filter(
      ({ sentMs }) => sentMs <= report.atMs,
    );
    return Math.max(0, report.total - ownThen.length);
  }

  /** The newest report, for other instances; null once it says nothing more. */
  get freshReport(): TimedReport | null {
    const report = this.#report;
    const isFresh =
      report !== null && this.clock() - report.atMs <= REPORT_MAX_AGE_MS;
    return isFresh ? report : null;
  }

  /** Prompt tokens that this instance sent and that are not read yet, by rank. */
  get ownUnreadByRank(): readonly number[] {
    const byRank: (number | undefined)[] = [];
    this.#waiting.forEach(({ rank, unreadTokens }) => {
      byRank[rank] = (byRank[rank] ?? 0) + unreadTokens;
    });
    return Array.from(byRank, tokens => tokens ?? 0);
  }

  /**
   * Prompt tokens that the replica reads before a new request's, over all
   * instances as far as known.
   *
   * Less urgent ones are left out, since the replica lets the request go before
   * them. Counted in, urgent requests would be turned away for a wait that they
   * don't have, and whatever an instance doesn't know of less urgent work would
   * mislead it about urgent requests too.
   *
   * @param rank - at which the request would go there
   */
  unreadAhead(rank: number): number {
    const own = this.#ownUnread(attempt => attempt.rank <= rank);
    const others = this.peers.unreadByRank
      .slice(0, rank + 1)
      .reduce((sum, tokens) => sum + tokens, 0);
    return own + others;
  }

  /**
   * Prompt tokens of this instance's less urgent requests that wait to be read.
   *
   * @param priority - of the request that is compared with, 0 first
   */
  lessUrgentUnread(priority: number): number {
    return this.#ownUnread(({ request }) => request.priority > priority);
  }

  get #waiting(): readonly GatewayAttempt[] {
    return [...this.attempts].filter(({ firstByteMs }) => firstByteMs === null);
  }

  #ownUnread(counts: (attempt: GatewayAttempt) => boolean): number {
    return this.#waiting
      .filter(counts)
      .reduce((sum, { unreadTokens }) => sum + unreadTokens, 0);
  }

  /** Takes in the load that the replica told with an answer. */
  onReported({ running, waiting }: ReportedLoad): void {
    this.#report = { total: running + waiting, atMs: this.clock() };
  }

  /** Takes in what the replica told another instance, if that is newer. */
  onPeerReport(report: TimedReport): void {
    if (report.atMs > (this.#report?.atMs ?? -Infinity)) {
      this.#report = report;
    }
  }

  /** What the replica last said of its limit; null where it never named one. */
  get limit(): NamedLimit | null {
    return this.#limit;
  }

  /** Requests a second that it takes from all instances; null for no limit. */
  get limitPerS(): number | null {
    return this.#limit?.perS ?? null;
  }

  /**
   * Takes in what the replica says of its limit, if that is newer.
   *
   * A replica that never named one has none; the end of a limit keeps its moment.
   */
  onLimit(limit: NamedLimit): void {
    const known = this.#limit;
    const isNews = limit.perS !== null || this.limitPerS !== null;
    if (isNews && limit.atMs >= (known?.atMs ?? -Infinity)) {
      this.#limit = limit;
    }
  }

  /** Notes the first byte of an attempt, for those that were sent before it. */
  onFirstByte(first: GatewayAttempt): void {
    [...this.attempts]
      .filter(
        ({ firstByteMs, sentMs, rank }) =>
          firstByteMs === null && sentMs < first.sentMs && rank <= first.rank,
      )
      .forEach(attempt => {
        attempt.overtaken += 1;
      });
  }

  /** Takes in the time between two pieces of one stream. */
  onPause(pauseMs: number): void {
    this.paceMs += PACE_WEIGHT * (pauseMs - this.paceMs);
  }

  /**
   * Took against predicted time, smoothed; 1 is usual for the service.
   *
   * Each priority has its own: less urgent requests take longer than predicted
   * since urgent ones overtake them, which says nothing of what urgent ones wait.
   *
   * @param priority - of the requests, 0 first
   */
  slownessFor(priority: number): number {
    return this.#slowness.get(priority) ?? 1;
  }

  /**
   * Takes in how long something took against what was predicted.
   *
   * @param priority - of the request
   * @param tookMs - from sending
   * @param predictedMs - the same as it was expected
   */
  onDuration(priority: number, tookMs: number, predictedMs: number): void {
    const ratio = tookMs / Math.max(1, predictedMs);
    const bounded = Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, ratio));
    const before = this.slownessFor(priority);
    const after = before + SLOWNESS_WEIGHT * (bounded - before);
    this.#slowness.set(priority, after);
  }
}
