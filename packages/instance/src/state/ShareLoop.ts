import type { Demand, Membership } from '@jujubecroft/decisions';
import { DemandLedger, OwnerRing } from '@jujubecroft/decisions';
import type { proto } from '@jujubecroft/operator';
import type { InstanceId, OrganisationId } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import type { RouterHost } from '../host/RouterHost.js';
import type { PeerConnections } from './PeerConnections.js';

const PERIOD_MS = 1000;
/** Owners that hear of this instance in one period, whatever the demand. */
const MAX_OWNERS = 4;
/** Demands in one report. */
const MAX_DEMANDS = 32;
const FORGET_EVERY_PERIODS = 10;

/** Keeps this instance's shares of limits, and those of organisations it owns. */
export class ShareLoop {
  readonly #ledger = new DemandLedger();
  #timer: NodeJS.Timeout | null = null;
  #period = 0;
  #ring = new OwnerRing([]);
  #fleet = '';
  /** Owners reported to last, so that all get their turn. */
  #turn = 0;

  constructor(
    private readonly membership: Membership,
    private readonly peers: PeerConnections,
    private readonly host: RouterHost,
  ) {}

  start(): void {
    this.#timer = setInterval(() => {
      this.#report();
    }, PERIOD_MS);
  }

  stop(): void {
    if (this.#timer) {
      clearInterval(this.#timer);
    }
  }

  /** Owner's side: takes a report and answers with the reporter's shares. */
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

  #report(): void {
    const { limits, clock } = this.host.router.board;
    const instances = this.membership.instances;
    const hot = limits.closePeriod(instances.length, clock());
    const byOwner = this.#byOwner(hot, this.#ringOf(instances));
    this.#ofThisPeriod([...byOwner.keys()]).forEach(owner => {
      void this.#reportTo(owner, byOwner.get(owner) ?? []);
    });
    this.#period += 1;
    if (this.#period % FORGET_EVERY_PERIODS === 0) {
      this.#ledger.forget(clock());
    }
  }

  /** The ring is built anew only when the fleet has changed. */
  #ringOf(instances: readonly InstanceId[]): OwnerRing {
    const fleet = [...instances].sort().join(' ');
    if (fleet !== this.#fleet) {
      this.#fleet = fleet;
      this.#ring = new OwnerRing(instances);
    }
    return this.#ring;
  }

  #byOwner(
    hot: readonly Demand[],
    ring: OwnerRing,
  ): ReadonlyMap<InstanceId, readonly Demand[]> {
    const byOwner = new Map<InstanceId, Demand[]>();
    hot.forEach(demand => {
      const owner = ring.ownerOf(demand.organisation);
      if (owner !== undefined) {
        byOwner.set(owner, [...(byOwner.get(owner) ?? []), demand]);
      }
    });
    return byOwner;
  }

  #ofThisPeriod(owners: readonly InstanceId[]): readonly InstanceId[] {
    if (owners.length <= MAX_OWNERS) {
      return owners;
    }
    const start = this.#turn % owners.length;
    this.#turn += MAX_OWNERS;
    return [...owners.slice(start), ...owners.slice(0, start)].slice(
      0,
      MAX_OWNERS,
    );
  }

  async #reportTo(
    owner: InstanceId,
    demands: readonly Demand[],
  ): Promise<void> {
    const report: proto.DemandReport = {
      instance: this.membership.self.instance,
      demands: demands.slice(0, MAX_DEMANDS).map(demand => ({ ...demand })),
    };
    try {
      this.#take(await this.#send(owner, report));
    } catch {
      // The share in force stays until its lease ends.
    }
  }

  async #send(
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

  #take(shares: readonly proto.Share[]): void {
    const { limits, clock } = this.host.router.board;
    shares.forEach(({ organisation, share }) => {
      limits.grant(brand<OrganisationId>(organisation), share, clock());
    });
  }
}
