import type {
  OrganisationId,
  PromptMetadata,
  PromptPartKey,
  Replica,
  RequestFingerprint,
  RequestId,
  Route,
  RoutedService,
  SoftwareVersion,
} from '@jujubecroft/types';

import type { Clock } from '../blackboard/Blackboard.js';
import type { HashedId } from '../util/byHash.js';
import { toHashedId } from '../util/byHash.js';
import type { CacheFetch } from './placement/PlacementPolicy.js';
import { PromptCacheEstimate } from './PromptCacheEstimate.js';
import { ReplicaHealth } from './ReplicaHealth.js';
import type { StreamBinding } from './streams/StreamBinding.js';

/** What was found out about the origin of a stream that no source knew. */
export interface OriginSearch {
  /** Number of other instances that were asked, and that answered. */
  readonly asked: number;
  readonly answered: number;
  /**
   * Why the versions of the service didn't show it: there are several, there has been one
   * for too short a time, or the store didn't confirm it.
   */
  readonly versions: 'notLongEnough' | 'several' | 'unconfirmed';
}

/** A caller's statement that a request continues an earlier stream. */
export interface Resumption {
  /**
   * Request that brought the first event of the stream; null if the caller doesn't
   * say.
   */
  readonly firstRequest: RequestId | null;
  /** Who knew at which version the stream began, and how old the knowledge is. */
  readonly knownFrom?: string;
  readonly knownAgeMs?: number;
  /** Age that the stream is known to have, in milliseconds. */
  readonly provenAgeMs?: number;
  /** Set if it is not known where the stream began. */
  readonly searched?: OriginSearch;
}

/** What routing decisions need to know about one request of a caller. */
export interface GatewayRequest {
  readonly id: RequestId;
  readonly route: Route;
  readonly service: RoutedService;
  /** Null on public routes. */
  readonly organisation: OrganisationId | null;
  /** Position in the service's priority order; 0 is the most urgent. */
  readonly priority: number;
  /** Null where the request has no prompt. */
  readonly prompt: PromptMetadata | null;
  readonly arrivedMs: number;
  /** Deadline for the end of the answer, on the local clock. */
  readonly deadlineMs: number;
  /**
   * Whether this seems to be a retry of a rejected request, judged by the time
   * that the caller has left.
   */
  readonly isCallerRetry: boolean;
  /** Null unless the answer is a stream that may be resumed or continues one. */
  readonly binding: StreamBinding | null;
  /** Set if the caller continues a stream that an earlier request began. */
  readonly resumption: Resumption | null;
  /**
   * Computes the fingerprint of the content on demand, since it is rarely
   * needed.
   */
  readonly fingerprint: () => RequestFingerprint;
  /**
   * Computes the keys of the prompt parts that other requests may share, without
   * duplicates; none where the request has no prompt.
   */
  readonly partKeys: () => readonly PromptPartKey[];
}

/** One attempt to run a request on one replica. */
export interface GatewayAttempt {
  readonly request: GatewayRequest;
  readonly load: BackendLoad;
  /**
   * Software version of the addressed run, as known when the attempt was placed. The
   * last check before the send requires it; null if unknown.
   */
  readonly softwareVersion: SoftwareVersion | null;
  /** Number of the attempt; 1 for the first. */
  readonly number: number;
  /** Number of the attempt, counting only attempts that left this instance. */
  readonly sentNumber: number;
  readonly sentMs: number;
  /** Prompt tokens of this request that the replica has to read. */
  readonly unreadTokens: number;
  /**
   * Prompt tokens that the replica reads up to the end of this prompt,
   * including those of requests ahead of it.
   */
  readonly tokensAhead: number;
  /**
   * Whether the request is demoted behind requests that can still meet their
   * target.
   */
  readonly isDeferred: boolean;
  /** Rank at which the replica serves the request; 0 is served first. */
  readonly rank: number;
  /**
   * Prompt cache that the replica copies from another replica first; null for
   * none.
   */
  readonly fetch: CacheFetch | null;
  readonly predictedMs: number;
  /** Pieces (stream events) of the answer received so far. */
  pieces: number;
  /**
   * Number of attempts that were sent to the replica later, are no more urgent
   * and yet received their first byte earlier.
   */
  overtaken: number;
  firstByteMs: number | null;
  lastByteMs: number | null;
}

/** Use of a replica by the other instances, summed up. */
export interface PeerUse {
  readonly inFlight: number;
  /** Prompt tokens still to be read, indexed by the rank of their requests. */
  readonly unreadByRank: readonly number[];
}

export const NO_PEER_USE: PeerUse = { inFlight: 0, unreadByRank: [] };

/** Load that a replica reported with an answer. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /**
   * How many times as long as usual work takes on the replica's host at this
   * moment; absent if the replica doesn't state it.
   */
  readonly slowdown?: number;
}

/** A load report with the local time at which the replica sent it. */
export interface TimestampedLoad {
  /** Requests of all instances that run or wait at the replica. */
  readonly total: number;
  readonly atMs: number;
}

/**
 * Request limit announced by a replica, with the local time of the
 * announcement.
 */
export interface AnnouncedLimit {
  /** Requests per second from all instances together; null for no limit. */
  readonly perS: number | null;
  readonly atMs: number;
}

/** Age up to which a load report is used. */
const MAX_REPORT_AGE_MS = 1000;
/**
 * Age up to which a slowdown of the moment is used; hosts change it about every
 * 600 ms.
 */
const MAX_SLOWDOWN_AGE_MS = 300;
/**
 * Largest slowdown of the moment that is believed, which bounds the effect of a
 * false one.
 */
const MAX_SLOWDOWN = 2.5;
/**
 * Key that stands for all priorities at replicas that serve in order of
 * arrival.
 */
export const FIFO_PRIORITY = 0;
/** Smoothing factor of the ratio of measured to predicted latency. */
const LATENCY_RATIO_WEIGHT = 0.15;
/** Smoothing factor of the interval between stream events. */
const EVENT_INTERVAL_WEIGHT = 0.03;
/** Interval between stream events assumed before any was measured. */
const INITIAL_EVENT_INTERVAL_MS = 30;
const MIN_LATENCY_RATIO = 0.5;
const MAX_LATENCY_RATIO = 8;
/**
 * Cache size assumed where the configuration does not specify one, in tokens.
 */
const DEFAULT_CACHE_TOKENS = 200_000;

/** What this instance knows about the load, health and cache of one replica. */
export class BackendLoad {
  readonly attempts = new Set<GatewayAttempt>();
  readonly health: ReplicaHealth;
  readonly cacheEstimate: PromptCacheEstimate;
  /** Hashed id, kept because replicas are ordered by hash for every request. */
  readonly hashedId: HashedId;
  replica: Replica;
  peers: PeerUse = NO_PEER_USE;
  /** Whether `peers` is extrapolated from the few instances that reported. */
  isPeerUseExtrapolated = false;
  /**
   * Smoothed interval between the events of a stream, in milliseconds. It grows
   * many times over while a replica reads prompts without a break.
   */
  eventIntervalMs = INITIAL_EVENT_INTERVAL_MS;
  lastByteMs = -Infinity;
  #report: TimestampedLoad | null = null;
  #slowdown = 1;
  #slowdownAtMs = -Infinity;
  #queueWhenFull: number | null = null;
  #limit: AnnouncedLimit | null = null;
  readonly #latencyRatios = new Map<number, number>();

  constructor(
    replica: Replica,
    service: RoutedService | undefined,
    private readonly clock: Clock,
  ) {
    this.replica = replica;
    this.hashedId = toHashedId(replica.id);
    this.health = new ReplicaHealth(clock);
    this.cacheEstimate = new PromptCacheEstimate(
      service?.engine?.kvCapacityTokens ?? DEFAULT_CACHE_TOKENS,
    );
  }

  /** Attempts of this instance that have not ended. */
  get inFlight(): number {
    return this.attempts.size;
  }

  /**
   * Estimated number of attempts of all instances that have not ended.
   *
   * The replica's own report counts the requests of all instances, including
   * those that this instance does not hear from, as in a network partition. It
   * prevents overloading such a replica, but is only as recent as the last
   * answer that any instance received from it. Where `peers` is extrapolated,
   * only the report is used: a few instances scaled up say little about a
   * single replica.
   */
  get totalInFlight(): number {
    const report = this.freshReport;
    if (!report) {
      return this.inFlight + this.peers.inFlight;
    }
    const reported = this.#reportedOthers(report);
    const others = this.isPeerUseExtrapolated
      ? reported
      : Math.max(this.peers.inFlight, reported);
    return this.inFlight + others;
  }

  #reportedOthers(report: TimestampedLoad): number {
    if (this.attempts.size === 0) {
      return Math.max(0, report.total);
    }
    const ownIncluded = [...this.attempts].filter(
      ({ sentMs }) => sentMs <= report.atMs,
    );
    return Math.max(0, report.total - ownIncluded.length);
  }

  /** The newest load report; null once it is too old to be used. */
  get freshReport(): TimestampedLoad | null {
    const report = this.#report;
    const isFresh =
      report !== null && this.clock() - report.atMs <= MAX_REPORT_AGE_MS;
    return isFresh ? report : null;
  }

  /** Prompt tokens sent by this instance and not read yet, indexed by rank. */
  get ownUnreadByRank(): readonly number[] {
    const byRank: (number | undefined)[] = [];
    this.#waiting.forEach(({ rank, unreadTokens }) => {
      byRank[rank] = (byRank[rank] ?? 0) + unreadTokens;
    });
    return Array.from(byRank, tokens => tokens ?? 0);
  }

  /**
   * Estimates how many prompt tokens of all instances the replica reads before
   * those of a new request.
   *
   * Less urgent requests are not counted, since the replica serves the new
   * request before them. Counting them would reject urgent requests for a wait
   * that they do not have, and would let gaps in what an instance knows about
   * less urgent work distort its decisions on urgent requests.
   *
   * @param rank - rank at which the replica would serve the request
   * @returns the number of tokens
   */
  unreadTokensAhead(rank: number): number {
    const own = this.#ownUnread(attempt => attempt.rank <= rank);
    let others = 0;
    this.peers.unreadByRank.forEach((tokens, otherRank) => {
      others += otherRank <= rank ? tokens : 0;
    });
    return own + others;
  }

  /**
   * Returns the unread prompt tokens of this instance's requests that are less
   * urgent than a given priority.
   *
   * @param priority - position in the priority order to compare with, 0 first
   */
  lessUrgentUnreadTokens(priority: number): number {
    return this.#ownUnread(({ request }) => request.priority > priority);
  }

  get #waiting(): readonly GatewayAttempt[] {
    return [...this.attempts].filter(({ firstByteMs }) => firstByteMs === null);
  }

  #ownUnread(isCounted: (attempt: GatewayAttempt) => boolean): number {
    if (this.attempts.size === 0) {
      return 0;
    }
    return this.#waiting
      .filter(isCounted)
      .reduce((sum, { unreadTokens }) => sum + unreadTokens, 0);
  }

  /** Records the load that the replica reported with an answer. */
  onReported({ running, waiting, slowdown }: ReportedLoad): void {
    const atMs = this.clock();
    const total = running + waiting;
    this.#report = { total, atMs };
    if (this.#queueWhenFull !== null) {
      // It accepts as many as it holds; the rejection had another reason.
      const queue = total - this.replica.slots;
      this.#queueWhenFull = Math.max(this.#queueWhenFull, queue);
    }
    if (slowdown !== undefined) {
      this.#slowdown = Math.min(MAX_SLOWDOWN, Math.max(1, slowdown));
      this.#slowdownAtMs = atMs;
    }
  }

  /**
   * How many times as long as usual work takes on the replica's host now, from 1;
   * 1 if no recent report says so.
   */
  get slowdown(): number {
    return this.clock() - this.#slowdownAtMs <= MAX_SLOWDOWN_AGE_MS
      ? this.#slowdown
      : 1;
  }

  /**
   * Records that the replica rejected a request unrun, which it does when it is
   * full. To be called when the attempt has ended. A replica with free slots had
   * another reason.
   */
  onRejected(): void {
    const queue = this.totalInFlight - this.replica.slots;
    if (queue >= 0) {
      this.#queueWhenFull = queue;
    }
  }

  /**
   * Whether the replica holds as many requests as when it last rejected one.
   * False if it never did, since its queue may have any length then.
   */
  get isFull(): boolean {
    return (
      this.#queueWhenFull !== null &&
      this.totalInFlight >= this.replica.slots + this.#queueWhenFull
    );
  }

  /** Records a load report that another instance received, if it is newer. */
  onPeerReport(report: TimestampedLoad): void {
    if (report.atMs > (this.#report?.atMs ?? -Infinity)) {
      this.#report = report;
    }
  }

  /**
   * The newest limit that the replica announced; null if it never announced
   * one.
   */
  get limit(): AnnouncedLimit | null {
    return this.#limit;
  }

  /**
   * Requests per second that the replica accepts from all instances; null for
   * no limit.
   */
  get limitPerS(): number | null {
    return this.#limit?.perS ?? null;
  }

  /**
   * Records the limit that the replica announced, if it is newer.
   *
   * The absence of a limit is recorded only after a limit was announced. The
   * end of a limit is kept with its time, so that older announcements don't
   * override it.
   */
  onLimit(limit: AnnouncedLimit): void {
    const known = this.#limit;
    const isNews = limit.perS !== null || this.limitPerS !== null;
    if (isNews && limit.atMs >= (known?.atMs ?? -Infinity)) {
      this.#limit = limit;
    }
  }

  /**
   * Records that an attempt received its first byte, and counts it as
   * overtaking every earlier attempt that is still waiting and no more urgent.
   *
   * @param first - attempt that received its first byte
   */
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

  /**
   * Records the time between two events of one stream.
   *
   * @param pauseMs - the interval, in milliseconds
   */
  onEventInterval(pauseMs: number): void {
    this.eventIntervalMs +=
      EVENT_INTERVAL_WEIGHT * (pauseMs - this.eventIntervalMs);
  }

  /**
   * Returns the smoothed ratio of measured to predicted latency; 1 is as
   * predicted.
   *
   * Ratios are kept per priority. Less urgent requests take longer than
   * predicted because urgent ones overtake them, which says nothing about the
   * wait of urgent requests.
   *
   * @param priority - position of the requests in the priority order, 0 first
   */
  latencyRatioFor(priority: number): number {
    return this.#latencyRatios.get(priority) ?? 1;
  }

  /**
   * Records a measured latency together with its prediction.
   *
   * @param priority - position of the request in the priority order, 0 first
   * @param tookMs - measured time since the request was sent, in milliseconds
   * @param predictedMs - predicted value of the same time, in milliseconds
   */
  onDuration(priority: number, tookMs: number, predictedMs: number): void {
    const ratio = tookMs / Math.max(1, predictedMs);
    const bounded = Math.min(
      MAX_LATENCY_RATIO,
      Math.max(MIN_LATENCY_RATIO, ratio),
    );
    const before = this.latencyRatioFor(priority);
    const after = before + LATENCY_RATIO_WEIGHT * (bounded - before);
    this.#latencyRatios.set(priority, after);
  }
}
