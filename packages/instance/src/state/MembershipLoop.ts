import type { Member, Membership, MemberState } from '@jujubecroft/decisions';
import { MemberStateTracker } from '@jujubecroft/decisions';
import {
  fromHeartbeatMessage,
  toHeartbeatMessage,
} from '@jujubecroft/operator';
import type { InstanceList } from '@jujubecroft/stores';

import type { EventLog } from '@jujubecroft/events';
import type { RouterHost } from '../host/RouterHost.js';
import type { InstanceMetrics } from '../metrics/InstanceMetrics.js';
import type { PeerConnections } from './PeerConnections.js';

const PERIOD_MS = 1000;
const LIST_INTERVAL_PERIODS = 5;
/**
 * A new instance reads the instance list in each of its first periods: the list
 * lags, and this instance has just been added to it.
 */
const JOINING_PERIODS = 15;
const INDIRECT_PROBES = 2;
const STATES: readonly MemberState[] = ['failed', 'leaving', 'live', 'suspect'];

/**
 * Called with a member that has a newer configuration revision than this
 * instance.
 */
type NewerRevisionListener = (member: Member) => void;

/**
 * Keeps the membership of one instance up to date by heartbeats and the
 * platform's instance list.
 */
export class MembershipLoop {
  #timer: NodeJS.Timeout | null = null;
  #period = 0;
  #placedFleet = '';
  readonly #stateWatch = new MemberStateTracker();

  constructor(
    private readonly membership: Membership,
    private readonly list: InstanceList,
    private readonly peers: PeerConnections,
    private readonly host: RouterHost,
    private readonly metrics: InstanceMetrics,
    private readonly log: EventLog,
    private readonly onNewerRevision: NewerRevisionListener,
  ) {}

  /**
   * Whether this instance started so recently that it may not know all members
   * yet.
   */
  get isJoining(): boolean {
    return this.#period < JOINING_PERIODS;
  }

  async start(): Promise<void> {
    await this.#readList();
    this.#updatePlacement();
    this.#timer = setInterval(() => {
      this.#runPeriod();
    }, PERIOD_MS);
  }

  stop(): void {
    if (this.#timer) {
      clearInterval(this.#timer);
    }
    this.peers.close();
  }

  /** Sends one round of heartbeats immediately, for example before a stop. */
  async spread(): Promise<void> {
    await Promise.all(
      this.membership.targets().map(member => this.#exchangeHeartbeat(member)),
    );
  }

  #runPeriod(): void {
    this.#period += 1;
    this.membership.tick();
    const isJoining = this.#period < JOINING_PERIODS;
    if (isJoining || this.#period % LIST_INTERVAL_PERIODS === 0) {
      void this.#readList();
    }
    void this.spread();
    this.#updatePlacement();
    this.#recordStates();
  }

  async #readList(): Promise<void> {
    try {
      this.membership.onList(await this.list.list());
    } catch {
      // While the platform is unreachable, heartbeats alone maintain the
      // membership.
    }
  }

  async #exchangeHeartbeat(member: Member): Promise<void> {
    const message = this.membership.message({
      revision: this.host.configuration.revision,
      inFlight: this.host.inFlight,
    });
    try {
      const reply = await this.peers.heartbeat(
        member.peerAddress,
        toHeartbeatMessage(message),
      );
      this.membership.onMessage(fromHeartbeatMessage(reply));
      this.#checkRevision(member);
    } catch {
      await this.#probeIndirectly(member);
    }
  }

  #checkRevision(member: Member): void {
    if (member.revision > this.host.configuration.revision) {
      this.onNewerRevision(member);
    }
  }

  /**
   * Asks other members to probe it as well, since one broken link must not make
   * a member suspect.
   */
  async #probeIndirectly(member: Member): Promise<void> {
    const helpers = this.membership.indirectProbers(member.id, INDIRECT_PROBES);
    const probes = await Promise.all(
      helpers.map(helper =>
        this.peers
          .probeFor(helper.peerAddress, member.peerAddress)
          .catch(() => false),
      ),
    );
    if (!probes.some(reachable => reachable)) {
      this.membership.onUnreachable(member.id);
    }
  }

  /**
   * Updates the router and the peer connections if the serving instances have
   * changed.
   */
  #updatePlacement(): void {
    const { self } = this.membership;
    const instances = [...this.membership.instances].sort();
    const key = instances.join(' ');
    if (key === this.#placedFleet) {
      return;
    }
    this.#placedFleet = key;
    const { instance, failureDomain } = self;
    this.host.router.setPlacement({ instance, failureDomain, instances });
    this.peers.keepOnly(
      new Set(this.membership.members.map(({ peerAddress }) => peerAddress)),
    );
  }

  #recordStates(): void {
    const { members } = this.membership;
    STATES.forEach(state => {
      const count = members.filter(member => member.state === state).length;
      this.metrics.members.set({ state }, count);
    });
    this.#stateWatch.detectChanges(members).forEach(change => {
      this.log.write('memberChanged', { ...change });
    });
  }
}
