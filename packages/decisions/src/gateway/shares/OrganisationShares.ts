import type { InstanceId, ServiceId } from '@jujubecroft/types';

import type { Clock } from '../../blackboard/Blackboard.js';
import type { GatewayRequest } from '../BackendLoad.js';
import type { Division, OrganisationShare } from './divideCapacity.js';
import { divideCapacity } from './divideCapacity.js';
import { PeerWork } from './PeerWork.js';
import type { WorkReport } from './WorkReport.js';
import { WorkTracker } from './WorkTracker.js';

/** Clocks and random source of one instance. */
export interface ShareSources {
  readonly clock: Clock;
  readonly random: () => number;
  /** Wall-clock time in Unix milliseconds. */
  readonly timeOfDay: () => number;
}

/** What the shares need to know about a request. */
type SharedRequest = Pick<
  GatewayRequest,
  'isCallerRetry' | 'organisation' | 'priority' | 'service'
>;

/** A division, with the use up to which organisations are not held back. */
interface ToleratedDivision extends Division {
  /** Work per second. */
  readonly toleratedPerS: number;
}

/** Division of one priority of a service, as computed at some time. */
interface ComputedDivision {
  readonly atMs: number;
  /** Null while capacity is not short. */
  readonly division: ToleratedDivision | null;
}

/** Time since a lack of capacity after which shares no longer apply. */
const SHORT_MS = 1000;
/**
 * Time since a lack of capacity for which work is reported to peers; longer
 * than `SHORT_MS`, so that the rates are known when it recurs.
 */
const REPORT_MS = 5000;
/** Time for which computed shares are reused. */
const DIVISION_MS = 100;
/** Factor on its share up to which an organisation's use is tolerated. */
const SHARE_TOLERANCE = 1.1;
/**
 * Standard deviations by which an organisation's use has to exceed the median
 * use. Each instance knows of a sample of the requests; with three or four
 * requests of each organisation, chance alone doubles the use of some.
 */
const MIN_DEVIATIONS = 2.5;

/**
 * Returns the use up to which organisations are not held back, in work per
 * second.
 *
 * @param division - division of the capacity
 * @param sampledRequests - number of requests of the median organisation that
 *   the rates stand for
 */
function toleratedPerS(
  { medianPerS }: Division,
  sampledRequests: number,
): number {
  return (
    medianPerS * (1 + MIN_DEVIATIONS / Math.sqrt(Math.max(1, sampledRequests)))
  );
}

/**
 * Decides which requests are beyond the fair share of their organisation while
 * capacity is short.
 *
 * Capacity is divided among the organisations whose requests have the same
 * position in the priority order of a service. Requests without an
 * organisation are neither counted nor held back.
 */
export class OrganisationShares {
  readonly #work: WorkTracker;
  readonly #peers: PeerWork;
  readonly #divisions = new Map<ServiceId, Map<number, ComputedDivision>>();
  /** Wall-clock time minus the monotonic clock, when this instance started. */
  readonly #clockOffsetMs: number;
  #instances = 1;

  constructor(private readonly sources: ShareSources) {
    this.#clockOffsetMs = sources.timeOfDay() - sources.clock();
    this.#work = new WorkTracker(sources.clock);
    this.#peers = new PeerWork(sources.clock);
  }

  /**
   * Records a request that a caller makes, and determines whether it is beyond
   * its organisation's share.
   *
   * The part of an organisation's requests that is beyond its share is drawn at
   * random, since one instance gets too few of them to count them off.
   *
   * @param request - the request, at its first placement
   * @param work - its work
   * @returns use and share of the organisation if the request is beyond the
   *   share; null if it is served as usual
   */
  onOffered(request: SharedRequest, work: number): OrganisationShare | null {
    const { service, priority, organisation, isCallerRetry } = request;
    if (organisation === null) {
      return null;
    }
    if (!isCallerRetry) {
      this.#work.ratesOf(service.id, priority).onOffered(organisation, work);
    }
    const division = this.#divisionOf(service.id, priority);
    const share = division?.shares.get(organisation);
    if (!division || !share || share.usePerS <= division.toleratedPerS) {
      return null;
    }
    if (share.usePerS <= SHARE_TOLERANCE * share.sharePerS) {
      return null;
    }
    const excess = 1 - share.sharePerS / share.usePerS;
    return this.sources.random() < excess ? share : null;
  }

  /** Records that a request was sent and is predicted to be on time. */
  onSentOnTime(request: SharedRequest, work: number): void {
    const { service, priority, organisation } = request;
    if (organisation !== null) {
      this.#work.ratesOf(service.id, priority).onTime(work);
    }
  }

  /** Records that a request is predicted late or was refused. */
  onShort({ service, priority, organisation }: SharedRequest): void {
    if (organisation !== null) {
      this.#work.ratesOf(service.id, priority).onShort();
    }
  }

  /** Whether capacity for one priority of a service is short. */
  isShort(service: ServiceId, priority: number): boolean {
    return (
      this.#work.ratesOf(service, priority).shortAgeMs <= SHORT_MS ||
      this.#peers
        .groupsOf(service, priority)
        .some(({ shortAgeMs }) => shortAgeMs <= SHORT_MS)
    );
  }

  /**
   * Work at this instance, to be sent to the others; without groups unless
   * capacity was short here or at a peer within the last seconds.
   */
  get report(): WorkReport {
    return {
      // Peers ignore reports with earlier times, so a wall clock that is set
      // back must not affect the order.
      asOfMs: this.#clockOffsetMs + this.sources.clock(),
      groups: this.#work.groups(
        ({ service, priority, shortAgeMs }) =>
          shortAgeMs <= REPORT_MS ||
          this.#peers
            .groupsOf(service, priority)
            .some(group => group.shortAgeMs <= REPORT_MS),
      ),
    };
  }

  /** Records the work that another instance reported. */
  onReport(peer: InstanceId, report: WorkReport): void {
    this.#peers.onReport(peer, report);
  }

  /** Updates the set of live instances, this one included. */
  onInstances(live: readonly InstanceId[]): void {
    this.#instances = Math.max(1, live.length);
    this.#peers.retainPeers(live);
  }

  /** Drops the state of services that the configuration no longer has. */
  retainServices(services: readonly ServiceId[]): void {
    this.#work.retainServices(services);
    this.#divisions.clear();
  }

  /** Division in force; null while capacity is not short. */
  #divisionOf(service: ServiceId, priority: number): ToleratedDivision | null {
    const priorities =
      this.#divisions.get(service) ?? new Map<number, ComputedDivision>();
    this.#divisions.set(service, priorities);
    const known = priorities.get(priority);
    const nowMs = this.sources.clock();
    if (known && nowMs - known.atMs < DIVISION_MS) {
      return known.division;
    }
    const division = this.isShort(service, priority)
      ? this.#divide(service, priority)
      : null;
    priorities.set(priority, { atMs: nowMs, division });
    return division;
  }

  #divide(service: ServiceId, priority: number): ToleratedDivision | null {
    const rates = this.#work.ratesOf(service, priority);
    const peers = this.#peers.groupsOf(service, priority);
    const division = divideCapacity(rates.group, peers, this.#instances);
    if (!division) {
      return null;
    }
    const sampledShare = (1 + peers.length) / this.#instances;
    const requests = sampledShare * rates.requestsIn(division.medianPerS);
    return { ...division, toleratedPerS: toleratedPerS(division, requests) };
  }
}
