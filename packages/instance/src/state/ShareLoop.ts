import type { Demand, Membership } from '@jujubecroft/decisions';
import { DemandLedger, OwnerRing } from '@jujubecroft/decisions';
import type { proto } from '@jujubecroft/operator';
import type { InstanceId, OrganisationId } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import type { RouterHost } from '../host/RouterHost.js';
import type { PeerConnections } from './PeerConnections.js';

const PERIOD_MS = 1000;
/** Owners that this instance reports to in one period, regardless of demand. */
const MAX_OWNERS_PER_PERIOD = 4;
const MAX_DEMANDS_PER_REPORT = 32;
const FORGET_INTERVAL_PERIODS = 10;

/**
 * Distributes the limits of organisations over the instances.
 *
 * Each period, an instance reports its demand to the owners of organisations
 * and receives its shares in return. It also computes the shares of the
 * organisations that it owns itself.
 */
export class ShareLoop {
  readonly #ledger = new DemandLedger();
  #timer: NodeJS.Timeout | null = null;
  #period = 0;
  #ring = new OwnerRing([]);
  #ringMembers = '';
  /**
   * Where the rotation over the owners continues when there are too many for
   * one period.
   */
  #nextOwnerIndex = 0;

  constructor(
    private readonly membership: Membership,
    private readonly peers: PeerConnections,
    private readonly host: RouterHost,
  ) {}

  start(): void {
    this.#timer = setInterval(() => {
      this.#reportPeriod();
    }, PERIOD_MS);
  }

  stop(): void {
    if (this.#timer) {
      clearInterval(this.#timer);
    }
  }

  /**
   * Handles a demand report as the owner of the reported organisations.
   *
   * @param report - demand at the reporting instance
   * @returns the reporter's shares, as far as they can be determined
   */
  onReport(report: proto.DemandReport): proto.Share[] {
    const instances = this.membership.instances.length;
    const nowMs = this.host.router.board.clock();
    const reporter = brand<InstanceId>(report.instance);
    return report.demands.flatMap(({ organisation, requests }) => {
      const id = brand<OrganisationId>(organisation);
      const share = this.#ledger.report(
        id,
        reporter,
        requests,
        instances,
        nowMs,
      );
      return share === null ? [] : [{ organisation, share }];
    });
  }

  #reportPeriod(): void {
    const { limits, clock } = this.host.router.board;
    const instances = this.membership.instances;
    const demands = limits.closePeriod(instances.length, clock());
    const byOwner = this.#groupByOwner(demands, this.#ringOf(instances));
    this.#selectOwners([...byOwner.keys()]).forEach(owner => {
      void this.#reportTo(owner, byOwner.get(owner) ?? []);
    });
    this.#period += 1;
    if (this.#period % FORGET_INTERVAL_PERIODS === 0) {
      this.#ledger.prune(clock());
    }
  }

  /** The ring of these instances, rebuilt only when they have changed. */
  #ringOf(instances: readonly InstanceId[]): OwnerRing {
    const members = [...instances].sort().join(' ');
    if (members !== this.#ringMembers) {
      this.#ringMembers = members;
      this.#ring = new OwnerRing(instances);
    }
    return this.#ring;
  }

  #groupByOwner(
    demands: readonly Demand[],
    ring: OwnerRing,
  ): ReadonlyMap<InstanceId, readonly Demand[]> {
    const byOwner = new Map<InstanceId, Demand[]>();
    demands.forEach(demand => {
      const owner = ring.ownerOf(demand.organisation);
      if (owner !== undefined) {
        byOwner.set(owner, [...(byOwner.get(owner) ?? []), demand]);
      }
    });
    return byOwner;
  }

  #selectOwners(owners: readonly InstanceId[]): readonly InstanceId[] {
    if (owners.length <= MAX_OWNERS_PER_PERIOD) {
      return owners;
    }
    const start = this.#nextOwnerIndex % owners.length;
    this.#nextOwnerIndex += MAX_OWNERS_PER_PERIOD;
    return [...owners.slice(start), ...owners.slice(0, start)].slice(
      0,
      MAX_OWNERS_PER_PERIOD,
    );
  }

  async #reportTo(
    owner: InstanceId,
    demands: readonly Demand[],
  ): Promise<void> {
    const report: proto.DemandReport = {
      instance: this.membership.self.instance,
      demands: demands
        .slice(0, MAX_DEMANDS_PER_REPORT)
        .map(demand => ({ ...demand })),
    };
    try {
      this.#applyShares(await this.#sendReport(owner, report));
    } catch {
      // The current shares remain valid until their leases expire.
    }
  }

  async #sendReport(
    owner: InstanceId,
    report: proto.DemandReport,
  ): Promise<readonly proto.Share[]> {
    if (owner === this.membership.self.instance) {
      return this.onReport(report);
    }
    const member = this.membership.members.find(({ id }) => id === owner);
    if (!member) {
      return [];
    }
    return (await this.peers.reportDemand(member.peerAddress, report)).shares;
  }

  #applyShares(shares: readonly proto.Share[]): void {
    const { limits, clock } = this.host.router.board;
    shares.forEach(({ organisation, share }) => {
      limits.grant(brand<OrganisationId>(organisation), share, clock());
    });
  }
}
