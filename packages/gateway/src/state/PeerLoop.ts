import type { Member } from '@jujubecroft/decisions';
import {
  MemberStateTracker,
  PeerProbes,
  isReader,
  shouldQueryReader,
  rankOf,
  readersOf,
  rotated,
  viewAgeMs,
} from '@jujubecroft/decisions';
import { decodeState, encodeState } from '@jujubecroft/operator/peers';
import type { proto } from '@jujubecroft/operator/peers';
import type { InstanceId } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import type { GatewayContext } from '../GatewayContext.js';
import { isReady, ownAddress } from '../GatewayContext.js';
import type { PeerLink } from '../ports/PeerLink.js';
import type { CancelTimer } from '../ports/Timers.js';
import type { FleetView } from './FleetView.js';
import type {
  CatchUpMethod,
  DatagramPurpose,
  KnownVersions,
} from './PeerState.js';
import { PeerState, ANNOUNCEMENT } from './PeerState.js';

/** Interval between probe rounds, in milliseconds. */
export const PEER_PERIOD_MS = 250;
/**
 * Time allowed for the answer to a probe, in milliseconds. The network takes only a few
 * of them, but an instance with a tenth of a core can be busy for some hundred
 * milliseconds after a change.
 */
const ANSWER_TIMEOUT_MS = 400;
/**
 * Consecutive probes without any sign of life after which a peer is suspected. With 1 %
 * datagram loss and four probes a second from each instance, a fleet of 195 suspects a
 * healthy peer about once in three minutes.
 */
const MISSES_TO_SUSPECT = 3;
/**
 * Number of peers to which an urgent change is sent; each of them forwards it. Four
 * hops reach two hundred instances; any that are missed learn of it in the next probe
 * rounds.
 */
const URGENT_FANOUT = 4;
/** Urgent changes within this time are announced together, in milliseconds. */
const URGENT_BATCH_MS = 40;
/** Number of rounds between probes of seeds that are not known as members. */
const SEED_PROBE_INTERVAL_ROUNDS = 4;

/** @returns the value of the `kind` label under which a datagram is counted */
function metricKindOf({ question, answerTo }: DatagramPurpose): string {
  if (question !== 0) {
    return 'question';
  }
  return answerTo === 0 ? 'news' : 'answer';
}

/**
 * Exchanges state with peers: membership, configuration, replicas and load.
 *
 * Datagrams carry probes, their answers and announcements; whatever doesn't fit into
 * one is pulled in a separate request.
 */
export class PeerLoop {
  readonly #state: PeerState;
  readonly #probes: PeerProbes;
  readonly #memberStates = new MemberStateTracker();
  #isPulling = false;
  #cancelRounds: CancelTimer | null = null;
  #cancelPendingSpread: CancelTimer | null = null;
  #round = 0;

  constructor(
    private readonly context: GatewayContext,
    view: FleetView,
    private readonly link: PeerLink,
  ) {
    this.#state = new PeerState(
      context,
      view,
      (address, method) => {
        this.#catchUp(address, method);
      },
      () => {
        this.spread();
      },
    );
    this.#probes = new PeerProbes(context.membership, context.clock, {
      periodMs: PEER_PERIOD_MS,
      answerTimeoutMs: ANSWER_TIMEOUT_MS,
      missesToSuspect: MISSES_TO_SUSPECT,
    });
    view.onUrgentChange(() => {
      this.spread();
    });
  }

  /** Starts to listen for peers and to probe them. */
  async start(): Promise<void> {
    await this.link.listen({
      onDatagram: (bytes, from) => {
        try {
          this.#onDatagram(decodeState(bytes), from);
        } catch (err) {
          this.#logError(from, err);
        }
      },
      onPull: request => {
        const reply = this.#state.buildPullReply(request);
        this.#state.receive(request, null);
        return reply;
      },
      onSendError: (to, err) => {
        this.#logError(to, err);
      },
    });
    this.#cancelRounds = this.context.timers.every(PEER_PERIOD_MS, () => {
      this.#runRound();
    });
    this.#runRound();
  }

  /** Stops the rounds and closes the link. */
  async stop(): Promise<void> {
    this.#cancelRounds?.();
    this.#cancelPendingSpread?.();
    await this.link.close();
  }

  /**
   * Schedules an announcement to some members; each forwards what is new to it.
   *
   * Changes often come in bursts, for example when many entries lapse together. Those
   * that arrive before the announcement is sent are included in it: sent one by one, a
   * hundred changes among sixty instances would cost seconds of CPU time on each of
   * them.
   */
  spread(): void {
    this.#cancelPendingSpread ??= this.context.timers.after(
      URGENT_BATCH_MS,
      () => {
        // Reset first: later changes may no longer be part of this announcement.
        this.#cancelPendingSpread = null;
        this.#randomMembers().forEach(({ peerAddress }) => {
          this.#send(peerAddress, ANNOUNCEMENT, null);
        });
      },
    );
  }

  /**
   * Sends this instance's usage counts to one member.
   *
   * @param id - id of the member; nothing is sent if it isn't known as serving
   */
  sendUsage(id: InstanceId): void {
    const member = this.context.membership.serving.find(
      other => other.id === id,
    );
    if (member) {
      this.context.metrics.peerMessages.inc({ kind: 'usage' });
      const state = this.#state.buildUsageDatagram();
      this.link.send(encodeState(state), member.peerAddress);
    }
  }

  /** Probes some members for their state. */
  probeRandomMembers(): void {
    this.#randomMembers().forEach(member => {
      this.#sendProbe(member.peerAddress, member);
    });
  }

  #randomMembers(): readonly Member[] {
    const { membership, router } = this.context;
    return rotated(membership.serving, router.board.random).slice(
      0,
      URGENT_FANOUT,
    );
  }

  #runRound(): void {
    const { membership, router, metrics } = this.context;
    this.#round += 1;
    membership.announce(
      isReady(this.context) ? ownAddress(this.context) : '',
      membership.self.peerAddress,
    );
    const overdue = this.#probes.beginRound();
    membership.tick();
    [...overdue, ...membership.targets()].forEach(member => {
      this.#sendProbe(member.peerAddress, member);
    });
    this.#probeSeeds();
    if (this.#isReaderDue()) {
      this.probeReader();
    }
    router.onInstances(membership.instances);
    router.board.otherMembers = membership.members.filter(
      ({ state }) => state !== 'leaving',
    ).length;
    metrics.members.set(membership.instances.length);
    this.#logMemberChanges();
  }

  /** Probes seeds that aren't known as members, as during startup. */
  #probeSeeds(): void {
    if (this.#round % SEED_PROBE_INTERVAL_ROUNDS !== 1) {
      return;
    }
    const { membership, settings } = this.context;
    const known = new Set(
      membership.serving.map(({ peerAddress }) => peerAddress),
    );
    settings.seeds
      .filter(seed => !known.has(seed) && seed !== membership.self.peerAddress)
      .forEach(seed => {
        this.#sendProbe(seed, null);
      });
  }

  /**
   * Whether to request the view from a store reader now, so that this instance need not
   * read the store itself.
   */
  #isReaderDue(): boolean {
    const { membership, router, settings } = this.context;
    const ageMs = viewAgeMs(router.board);
    if (!shouldQueryReader(ageMs, settings.freshWithinMs)) {
      return false;
    }
    const { self, instances } = membership;
    return !isReader(rankOf(self.instance, instances));
  }

  /**
   * Probes one of the instances that read the store for its view.
   *
   * Only the view is requested, since all other instances probe the same two readers.
   * With load data in the answers, a reader among two hundred instances sent 325 KB/s
   * (in virtual time, with sixty backend servers), a large part of a slow link.
   */
  probeReader(): void {
    const { membership, router } = this.context;
    const readers = readersOf(membership.instances);
    const known = membership.serving.filter(({ id }) => readers.includes(id));
    const reader = rotated(known, router.board.random).find(
      ({ peerAddress }) => !this.#probes.hasOutstanding(peerAddress),
    );
    if (reader) {
      this.#sendProbe(reader.peerAddress, reader, true);
    }
  }

  #sendProbe(address: string, member: Member | null, viewOnly = false): void {
    const question = this.#probes.ask(address, member);
    // With this instance's own versions, the probe carries no changes, which would make
    // up two thirds of its bytes. Changes are announced instead, and a peer that missed
    // one requests it.
    this.#send(
      address,
      { question, answerTo: 0, viewOnly },
      this.#state.knownVersions,
    );
  }

  #send(
    address: string,
    purpose: DatagramPurpose,
    known: KnownVersions | null,
  ): void {
    this.context.metrics.peerMessages.inc({ kind: metricKindOf(purpose) });
    const state = this.#state.buildDatagram(purpose, known);
    this.link.send(encodeState(state), address);
  }

  #onDatagram(state: proto.GatewayState, address: string): void {
    const { question, answerTo, heartbeat, streams } = state;
    if (streams) {
      this.context.streams.receive(streams, address);
    }
    if (!heartbeat) {
      return;
    }
    const from = brand<InstanceId>(heartbeat.instance);
    const askedMs = this.#probes.onMessage(from, answerTo);
    if (question !== 0) {
      this.#send(
        address,
        { question: 0, answerTo: question, viewOnly: state.viewOnly },
        {
          replicas: state.replicasVersion,
          configuration: state.configurationVersion,
        },
      );
    }
    this.#state.receive(state, askedMs);
  }

  #catchUp(address: string, method: CatchUpMethod): void {
    if (method === 'probe') {
      if (!this.#probes.hasOutstanding(address)) {
        this.#sendProbe(address, null);
      }
      return;
    }
    void this.#pull(address);
  }

  /**
   * Pulls everything that this instance lacks from a peer that is ahead.
   *
   * Only one pull runs at a time: several peers announce the same change, and a pull
   * from each would transfer the same configuration several times.
   */
  async #pull(address: string): Promise<void> {
    if (this.#isPulling) {
      return;
    }
    this.#isPulling = true;
    this.context.metrics.peerMessages.inc({ kind: 'pull' });
    try {
      const state = this.#state.buildDatagram(ANNOUNCEMENT, null);
      const askedMs = this.context.clock();
      const reply = await this.link.pull(address, state);
      this.#state.receive(reply, askedMs);
    } catch (err) {
      // The next peer that announces the change triggers another pull.
      this.context.log.write('pullFailed', {
        peer: address,
        error: err instanceof Error ? err.message : String(err),
      });
    } finally {
      this.#isPulling = false;
    }
  }

  #logError(address: string, err: unknown): void {
    const error = err instanceof Error ? err.message : String(err);
    this.context.log.write('unexpectedError', { peer: address, error });
  }

  #logMemberChanges(): void {
    const { membership, log } = this.context;
    this.#memberStates.detectChanges(membership.members).forEach(change => {
      log.write('memberChanged', { ...change });
    });
  }
}
