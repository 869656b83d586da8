import type { InstanceId, OrganisationId } from '@jujubecroft/types';

import { demandShare } from './demandShare.js';

/** Demand that one instance last reported. */
interface ReportedDemand {
  readonly demand: number;
  readonly atMs: number;
}

/** Demand for one organisation, as reported by each instance. */
interface OrganisationDemand {
  readonly firstReportAtMs: number;
  readonly byReporter: Map<InstanceId, ReportedDemand>;
}

/**
 * Time for which a reported demand counts; an instance that is gone no longer
 * counts afterwards.
 */
const REPORT_TTL_MS = 10_000;
/**
 * Time for which a new owner collects reports from all instances before it
 * gives shares.
 */
const SETTLE_MS = 3000;

/**
 * Records the demand that instances report to the owner of an organisation's
 * limit.
 */
export class DemandLedger {
  readonly #demands = new Map<OrganisationId, OrganisationDemand>();

  /**
   * Records a report and computes the reporter's share.
   *
   * Guards against a change of owner: a new owner knows only the first
   * reporters and would give each of them nearly the whole limit. It gives no
   * share until it has collected reports for long enough, and reporters keep
   * the share that they have.
   *
   * @param organisation - the organisation with the limit
   * @param reporter - the instance that reports
   * @param demand - requests a second that were offered at the reporter
   * @param instances - number of live instances in the fleet
   * @param nowMs - present time
   * @returns the share, or null while too few reports may be known
   */
  report(
    organisation: OrganisationId,
    reporter: InstanceId,
    demand: number,
    instances: number,
    nowMs: number,
  ): number | null {
    const collected = this.#demandOf(organisation, nowMs);
    collected.byReporter.set(reporter, { demand, atMs: nowMs });
    this.#dropExpired(collected, nowMs);
    if (nowMs - collected.firstReportAtMs < SETTLE_MS) {
      return null;
    }
    const others = [...collected.byReporter]
      .filter(([id]) => id !== reporter)
      .map(([, report]) => report.demand);
    const missingReports = Math.max(0, instances - 1 - others.length);
    const zeros = Array.from({ length: missingReports }, () => 0);
    return demandShare(demand, [...others, ...zeros]);
  }

  /** Drops organisations for which no instance reports demand any more. */
  prune(nowMs: number): void {
    this.#demands.forEach((collected, organisation) => {
      this.#dropExpired(collected, nowMs);
      if (collected.byReporter.size === 0) {
        this.#demands.delete(organisation);
      }
    });
  }

  #demandOf(organisation: OrganisationId, nowMs: number): OrganisationDemand {
    const known = this.#demands.get(organisation);
    if (known) {
      return known;
    }
    const collected: OrganisationDemand = {
      firstReportAtMs: nowMs,
      byReporter: new Map(),
    };
    this.#demands.set(organisation, collected);
    return collected;
  }

  #dropExpired(collected: OrganisationDemand, nowMs: number): void {
    collected.byReporter.forEach(({ atMs }, id) => {
      if (nowMs - atMs > REPORT_TTL_MS) {
        collected.byReporter.delete(id);
      }
    });
  }
}
