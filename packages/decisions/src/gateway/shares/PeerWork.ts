import type { InstanceId, ServiceId } from '@jujubecroft/types';

import type { Clock } from '../../blackboard/Blackboard.js';
import type { WorkGroup, WorkReport } from './WorkReport.js';

interface ReceivedReport extends WorkReport {
  readonly receivedMs: number;
}

/**
 * Age from which the report of another instance is ignored, in milliseconds.
 * An instance of a large fleet hears from some eight others in a second, which
 * is too few to tell a surge of one organisation from chance; the rates
 * themselves change over three seconds.
 */
const MAX_REPORT_AGE_MS = 3000;

/**
 * Keeps the newest work report of each other instance.
 *
 * The state depends only on the newest report of each instance, so reports may
 * be repeated, late or out of order.
 */
export class PeerWork {
  readonly #reports = new Map<InstanceId, ReceivedReport>();

  constructor(private readonly clock: Clock) {}

  /**
   * Records a report unless a newer one of the same instance is in force.
   *
   * An expired report is replaced by any other, since the sender's clock may
   * have been set back.
   */
  onReport(peer: InstanceId, report: WorkReport): void {
    const known = this.#reports.get(peer);
    const receivedMs = this.clock();
    if (!known || this.#isExpired(known) || report.asOfMs > known.asOfMs) {
      this.#reports.set(peer, { ...report, receivedMs });
    }
  }

  /** Drops the reports of instances that are no longer live. */
  retainPeers(live: readonly InstanceId[]): void {
    const alive = new Set(live);
    [...this.#reports.keys()]
      .filter(peer => !alive.has(peer))
      .forEach(peer => this.#reports.delete(peer));
  }

  /**
   * Returns the reported groups of one priority at a service, aged to the
   * present. Instances that report other groups only are left out.
   *
   * @param service - id of the service
   * @param priority - position in the service's priority order
   */
  groupsOf(service: ServiceId, priority: number): readonly WorkGroup[] {
    const nowMs = this.clock();
    return [...this.#reports.values()]
      .filter(report => !this.#isExpired(report))
      .flatMap(({ groups, receivedMs }) =>
        groups
          .filter(
            group => group.service === service && group.priority === priority,
          )
          .map(group => ({
            ...group,
            shortAgeMs: group.shortAgeMs + nowMs - receivedMs,
          })),
      );
  }

  #isExpired({ receivedMs }: ReceivedReport): boolean {
    return this.clock() - receivedMs > MAX_REPORT_AGE_MS;
  }
}
