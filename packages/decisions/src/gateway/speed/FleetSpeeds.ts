import type { BackendServerId, RouteId, ServiceId } from '@jujubecroft/types';

import type { Clock } from '../../blackboard/Blackboard.js';
import type { BackendLoad } from '../BackendLoad.js';
import { ANSWER_SAMPLE, INTERVAL_SAMPLE } from './ReplicaSpeed.js';
import { ServiceSpeeds } from './ServiceSpeeds.js';

/**
 * Slowdown of the moment from which on measurements are not used. They are left
 * out rather than divided by it, so that a replica that reports a false slowdown
 * doesn't look faster than it is.
 */
const MAX_MEASURED_SLOWDOWN = 1.2;

/**
 * Speeds of the replicas of all services whose replicas state their slowdown of the
 * moment. For other services nothing is recorded, and every factor is 1.
 */
export class FleetSpeeds {
  readonly #services = new Map<ServiceId, ServiceSpeeds>();

  constructor(
    private readonly clock: Clock,
    private readonly backends: ReadonlyMap<BackendServerId, BackendLoad>,
  ) {}

  /** The speeds of each service that has uneven replicas. */
  get services(): ReadonlyMap<ServiceId, ServiceSpeeds> {
    return this.#services;
  }

  /** The speeds at a service; undefined if its replicas count as equally fast. */
  find(service: ServiceId): ServiceSpeeds | undefined {
    return this.#services.get(service);
  }

  /** The speeds at a service, brought up to date; undefined as for `find`. */
  current(service: ServiceId): ServiceSpeeds | undefined {
    const speeds = this.#services.get(service);
    speeds?.refresh(load => this.#isCurrent(load), this.clock());
    return speeds;
  }

  /** Removes what is known of a run of a replica that is gone or superseded. */
  forget(load: BackendLoad): void {
    this.#services.get(load.replica.service)?.forget(load);
  }

  #isCurrent(load: BackendLoad): boolean {
    return this.backends.get(load.replica.id) === load;
  }

  /** Records that a replica of a service states its slowdown of the moment. */
  activate(service: ServiceId): ServiceSpeeds {
    const known = this.#services.get(service);
    if (known) {
      return known;
    }
    const speeds = new ServiceSpeeds();
    this.#services.set(service, speeds);
    return speeds;
  }

  /** Time of work of a replica relative to its service; above 1 is slow. */
  factorOf(load: BackendLoad): number {
    return this.#services.get(load.replica.service)?.factorOf(load) ?? 1;
  }

  /** Records the interval between two events of a stream, in milliseconds. */
  onInterval(load: BackendLoad, route: RouteId, ms: number): void {
    const speeds = this.#services.get(load.replica.service);
    if (!speeds || !this.#isCurrent(load)) {
      return;
    }
    speeds.onInterval(route, load, ms);
    this.#measure(speeds, load, ms, INTERVAL_SAMPLE);
  }

  /** Records the time of a whole answer of a plain service, in milliseconds. */
  onAnswer(load: BackendLoad, ms: number): void {
    const speeds = this.#services.get(load.replica.service);
    if (speeds && this.#isCurrent(load)) {
      this.#measure(speeds, load, ms, ANSWER_SAMPLE);
    }
  }

  #measure(
    speeds: ServiceSpeeds,
    load: BackendLoad,
    ms: number,
    rule: typeof ANSWER_SAMPLE,
  ): void {
    if (load.slowdown <= MAX_MEASURED_SLOWDOWN) {
      speeds.measure(load, ms, this.clock(), rule);
    }
  }

  /**
   * Predicts the interval between the events of a stream.
   *
   * @param load - load of the replica
   * @param route - route of the request
   * @returns the interval in milliseconds
   */
  intervalMs(load: BackendLoad, route: RouteId): number {
    const speeds = this.#services.get(load.replica.service);
    return speeds?.intervalMs(route, load) ?? load.eventIntervalMs;
  }
}
