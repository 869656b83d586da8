import type { FailureDomainId, InstanceId } from '@jujubecroft/types';

import type { Clock } from '../../blackboard/Blackboard.js';
import type { Member } from '../../membership/Member.js';

/** What is known of another instance as a way to replicas. */
interface PeerReach {
  /** Lost paths that it reported last. */
  lostPaths: number;
  reportedMs: number;
  failedMs: number;
  /** Connections of this instance that it carries. */
  connections: number;
}

/** Where a connection is to be relayed from and to. */
export interface RelayEnds {
  readonly ownDomain: FailureDomainId;
  readonly replicaDomain: FailureDomainId;
}

/** Time after a failure for which other instances are asked first. */
const AVOID_AFTER_FAILURE_MS = 1000;
/** Time for which reported losses count. */
const REPORT_RETENTION_MS = 3000;
/**
 * Number of connections that a detour through a third failure domain counts
 * for, since it doubles the bytes between domains.
 */
const DETOUR_CONNECTIONS = 4;

/**
 * Reorders members so that the second choice is of another failure domain than
 * the first one; further ones keep their order.
 */
function alternateDomains(ranked: readonly Member[]): readonly Member[] {
  const [first, ...others] = ranked;
  const second = others.find(
    ({ failureDomain }) => failureDomain !== first?.failureDomain,
  );
  return first && second
    ? [first, second, ...others.filter(member => member !== second)]
    : ranked;
}

/**
 * Selects the instances through which connections to replicas are opened while
 * the direct path is lost.
 */
export class RelayPeers {
  readonly #reach = new Map<InstanceId, PeerReach>();

  constructor(
    private readonly clock: Clock,
    private readonly random: () => number,
  ) {}

  /** Records how many paths another instance has lost. */
  onReport(peer: InstanceId, lostPaths: number): void {
    // Most instances never lose a path.
    if (lostPaths > 0 || this.#reach.has(peer)) {
      const reach = this.#reachOf(peer);
      reach.lostPaths = lostPaths;
      reach.reportedMs = this.clock();
    }
  }

  /** Records that another instance could not connect to a replica that others reach. */
  onFailed(peer: InstanceId): void {
    this.#reachOf(peer).failedMs = this.clock();
  }

  /** Records that another instance carries one more connection. */
  onOpened(peer: InstanceId): void {
    this.#reachOf(peer).connections += 1;
  }

  /** Records that a connection through another instance has ended. */
  onClosed(peer: InstanceId): void {
    const reach = this.#reachOf(peer);
    reach.connections = Math.max(0, reach.connections - 1);
  }

  /**
   * Orders instances by how well they suit a connection: those that seem to
   * reach replicas first, among them those that carry few connections and cause
   * no detour.
   *
   * A whole failure domain may have lost its paths, so instances of one in which
   * others failed come later, and the second choice is of another domain than
   * the first.
   *
   * @param members - serving instances
   * @param ends - failure domains of this instance and of the replica
   * @returns the members, the best first
   */
  order(members: readonly Member[], ends: RelayEnds): readonly Member[] {
    const doubtful = new Set(
      members.filter(member => this.#isDoubtful(member)),
    );
    const doubtfulDomains = this.#doubtfulDomains(members, doubtful);
    const doubtOf = (member: Member): number =>
      (doubtful.has(member) ? 2 : 0) +
      (doubtfulDomains.has(member.failureDomain) ? 1 : 0);
    const ranked = members
      .map(member => ({
        member,
        doubt: doubtOf(member),
        cost: this.#costOf(member, ends),
      }))
      .sort((a, b) => a.doubt - b.doubt || a.cost - b.cost)
      .map(({ member }) => member);
    return alternateDomains(ranked);
  }

  /** Domains of which more instances failed than carry connections. */
  #doubtfulDomains(
    members: readonly Member[],
    doubtful: ReadonlySet<Member>,
  ): ReadonlySet<FailureDomainId> {
    const balance = new Map<FailureDomainId, number>();
    members.forEach(member => {
      const { id, failureDomain } = member;
      const carries = (this.#reach.get(id)?.connections ?? 0) > 0;
      const change = doubtful.has(member) ? 1 : -Number(carries);
      balance.set(failureDomain, (balance.get(failureDomain) ?? 0) + change);
    });
    return new Set(
      [...balance].filter(([, sum]) => sum > 0).map(([domain]) => domain),
    );
  }

  #costOf(
    { id, failureDomain }: Member,
    { ownDomain, replicaDomain }: RelayEnds,
  ): number {
    const isDetour =
      failureDomain !== ownDomain && failureDomain !== replicaDomain;
    const connections = this.#reach.get(id)?.connections ?? 0;
    return connections + (isDetour ? DETOUR_CONNECTIONS : 0) + this.random();
  }

  /** Forgets instances that no longer serve and carry no connections. */
  retain(live: readonly InstanceId[]): void {
    [...this.#reach]
      .filter(
        ([id, { connections }]) => connections === 0 && !live.includes(id),
      )
      .forEach(([id]) => this.#reach.delete(id));
  }

  #isDoubtful({ id, state }: Member): boolean {
    const reach = this.#reach.get(id);
    const nowMs = this.clock();
    return (
      state !== 'live' ||
      (reach !== undefined &&
        (nowMs - reach.failedMs < AVOID_AFTER_FAILURE_MS ||
          (reach.lostPaths > 0 &&
            nowMs - reach.reportedMs < REPORT_RETENTION_MS)))
    );
  }

  #reachOf(peer: InstanceId): PeerReach {
    const known = this.#reach.get(peer);
    if (known) {
      return known;
    }
    const reach: PeerReach = {
      lostPaths: 0,
      reportedMs: -Infinity,
      failedMs: -Infinity,
      connections: 0,
    };
    this.#reach.set(peer, reach);
    return reach;
  }
}
