import type { OrganisationId, ServiceId } from '@jujubecroft/types';

import type { Clock } from '../../blackboard/Blackboard.js';
import { DemandRate } from '../DemandRate.js';
import type { WorkGroup } from './WorkReport.js';

/**
 * Time constant of the work rates, in milliseconds; short enough that a surge
 * of some ten seconds is noticed in its first two.
 */
const SMOOTHING_MS = 3000;
const MS_PER_SECOND = 1000;
/** Smoothing factor of the mean work of a request. */
const MEAN_WEIGHT = 0.05;
/**
 * Factor on the mean work up to which a request counts. A single very long
 * prompt would otherwise make its organisation look like one that surges, since
 * an instance knows of a few requests of each only.
 */
const MAX_WORK_FACTOR = 2;
/**
 * Time since its last request after which an organisation no longer competes.
 * Its rate is then down to a twentieth; until it decays to nothing, a single
 * other organisation would be held back for some 20 s without competition.
 */
const IDLE_MS = 3 * SMOOTHING_MS;

/** Offered work of one organisation. */
interface OfferedRate {
  readonly rate: DemandRate;
  lastAtMs: number;
}

/** Rates of the requests of one priority at a service. */
class GroupRates {
  readonly #offered = new Map<OrganisationId, OfferedRate>();
  readonly #onTime: DemandRate;
  #shortAtMs = -Infinity;
  /** Mean work of a request; null before the first. */
  #meanWork: number | null = null;

  constructor(
    readonly service: ServiceId,
    readonly priority: number,
    private readonly clock: Clock,
  ) {
    this.#onTime = new DemandRate(clock, SMOOTHING_MS);
  }

  /** Time since a request last met a lack of capacity, in milliseconds. */
  get shortAgeMs(): number {
    return this.clock() - this.#shortAtMs;
  }

  /** Rates at present, without organisations that have become idle. */
  get group(): WorkGroup {
    const { service, priority, shortAgeMs } = this;
    this.dropIdle();
    return {
      service,
      priority,
      shortAgeMs,
      onTimePerS: Math.max(0, this.#onTime.perMs * MS_PER_SECOND),
      organisations: [...this.#offered].map(([organisation, { rate }]) => ({
        organisation,
        workPerS: rate.perMs * MS_PER_SECOND,
      })),
    };
  }

  /** Drops organisations that have become idle. */
  dropIdle(): void {
    const nowMs = this.clock();
    this.#offered.forEach(({ lastAtMs }, organisation) => {
      if (nowMs - lastAtMs > IDLE_MS) {
        this.#offered.delete(organisation);
      }
    });
  }

  /** Number of organisations with state. */
  get size(): number {
    return this.#offered.size;
  }

  /**
   * Returns the number of requests that a rate stands for.
   *
   * @param workPerS - the rate, in work per second
   */
  requestsIn(workPerS: number): number {
    const work = (workPerS * SMOOTHING_MS) / MS_PER_SECOND;
    return this.#meanWork === null ? 0 : work / this.#meanWork;
  }

  onOffered(organisation: OrganisationId, work: number): void {
    const nowMs = this.clock();
    const offered = this.#offered.get(organisation) ?? {
      rate: new DemandRate(this.clock, SMOOTHING_MS),
      lastAtMs: nowMs,
    };
    offered.lastAtMs = nowMs;
    this.#offered.set(organisation, offered);
    this.#meanWork ??= work;
    this.#meanWork += MEAN_WEIGHT * (work - this.#meanWork);
    offered.rate.add(this.#bounded(work));
  }

  onTime(work: number): void {
    this.#onTime.add(Math.sign(work) * this.#bounded(Math.abs(work)));
  }

  #bounded(work: number): number {
    return Math.min(work, MAX_WORK_FACTOR * (this.#meanWork ?? work));
  }

  onShort(): void {
    this.#shortAtMs = this.clock();
  }
}

/**
 * Tracks the work that organisations offer to this instance, by service and
 * priority, and whether capacity is short.
 */
export class WorkTracker {
  readonly #services = new Map<ServiceId, Map<number, GroupRates>>();

  constructor(private readonly clock: Clock) {}

  /** Returns the rates of a priority at a service, from the first request on. */
  ratesOf(service: ServiceId, priority: number): GroupRates {
    const priorities =
      this.#services.get(service) ?? new Map<number, GroupRates>();
    const rates =
      priorities.get(priority) ?? new GroupRates(service, priority, this.clock);
    if (!priorities.has(priority)) {
      this.#services.set(service, priorities.set(priority, rates));
    }
    return rates;
  }

  /** Returns the present rates of all priorities that meet a condition. */
  groups(isWanted: (rates: GroupRates) => boolean): readonly WorkGroup[] {
    return [...this.#services.values()].flatMap(priorities =>
      [...priorities.values()].filter(isWanted).map(({ group }) => group),
    );
  }

  /**
   * Drops the rates of services that the configuration no longer has, and of
   * idle organisations, which it may no longer have either. While capacity is
   * not short, nothing else drops them.
   */
  retainServices(services: readonly ServiceId[]): void {
    [...this.#services.keys()]
      .filter(service => !services.includes(service))
      .forEach(service => this.#services.delete(service));
    this.#services.forEach(priorities => {
      priorities.forEach(rates => {
        rates.dropIdle();
      });
    });
  }
}
