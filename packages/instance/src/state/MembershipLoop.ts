import type { Member, Membership, MemberState } from '@jujubecroft/decisions';
import { MemberStateWatch } from '@jujubecroft/decisions';
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
const LIST_EVERY_PERIODS = 5;
/** A new instance reads the list each period, since it lags and has just changed. */
const YOUNG_PERIODS = 15;
const INDIRECT_CHECKS = 2;
const STATES: readonly MemberState[] = ['failed', 'leaving', 'live', 'suspect'];

/** Called with a member whose configuration is ahead of ours. */
type AheadListener = (member: Member) => void;

/** Runs the membership of one instance: heartbeats and list. */
export class MembershipLoop {
  #timer: NodeJS.Timeout | null = null;
  #period = 0;
  #placed = '';
  readonly #watch = new MemberStateWatch();

  constructor(
    private readonly membership: Membership,
    private readonly list: InstanceList,
    private readonly peers: PeerConnections,
    private readonly host: RouterHost,
    private readonly metrics: InstanceMetrics,
    private readonly log: EventLog,
    private readonly onAhead: AheadListener,
  ) {}

  /** Whether this instance may not know the whole fleet yet. */
  get isYoung(): boolean {
    return this.#period < YOUNG_PERIODS;
  }

  async start(): Promise<void> {
    await this.#readList();
    this.#place();
    this.#timer = setInterval(() => {
      this.#beat();
    }, PERIOD_MS);
  }

  stop(): void {
    if (this.#timer) {
      clearInterval(this.#timer);
    }
    this.peers.close();
  }

  /** Sends one round of heartbeats at once, as before a stop. */
  async spread(): Promise<void> {
    await Promise.all(
      this.membership.targets().map(member => this.#exchange(member)),
    );
  }

  #beat(): void {
    this.#period += 1;
    this.membership.tick();
    const isYoung = this.#period < YOUNG_PERIODS;
    if (isYoung || this.#period % LIST_EVERY_PERIODS === 0) {
      void this.#readList();
    }
    void this.spread();
    this.#place();
    this.#observe();
  }

  async #readList(): Promise<void> {
    try {
      this.membership.onList(await this.list.list());
    } catch {
      // The platform is down; heartbeats alone keep the membership going.
    }
  }

  async #exchange(member: Member): Promise<void> {
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
      this.#checkAhead(member);
    } catch {
      await this.#checkIndirectly(member);
    }
  }

  #checkAhead(member: Member): void {
    if (member.revision > this.host.configuration.revision) {
      this.onAhead(member);
    }
  }

  /** One broken link must not make a member suspect, so others try it too. */
  async #checkIndirectly(member: Member): Promise<void> {
    const helpers = this.membership.helpers(member.id, INDIRECT_CHECKS);
    const answers = await Promise.all(
      helpers.map(helper =>
        this.peers
          .probeFor(helper.peerAddress, member.peerAddress)
          .catch(() => false),
      ),
    );
    if (!answers.some(reachable => reachable)) {
      this.membership.onUnreachable(member.id);
    }
  }

  /** Tells the decision logic of the fleet when it has changed. */
  #place(): void {
    const { self } = this.membership;
    const instances = [...this.membership.instances].sort();
    const key = instances.join(' ');
    if (key === this.#placed) {
      return;
    }
    this.#placed = key;
    const { instance, failureDomain } = self;
    this.host.router.place({ instance, failureDomain, instances });
    this.peers.keepOnly(
      new Set(this.membership.members.map(({ peerAddress }) => peerAddress)),
    );
  }

  #observe(): void {
    const { members } = this.membership;
    STATES.forEach(state => {
      const count = members.filter(member => member.state === state).length;
      this.metrics.members.set({ state }, count);
    });
    this.#watch.look(members).forEach(change => {
      this.log.write('memberChanged', { ...change });
    });
  }
}
