import type { Member } from '@jujubecroft/decisions';
import {
  MemberStateWatch,
  PeerProbes,
  isReader,
  isReaderDue,
  rankOf,
  readersOf,
  rotated,
  viewAgeMs,
} from '@jujubecroft/decisions';
import { GatewayState } from '@jujubecroft/operator/peers';
import type { InstanceId } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import type { GatewayContext } from '../GatewayContext.js';
import { isReady, ownAddress } from '../GatewayContext.js';
import type { PeerLink } from '../ports/PeerLink.js';
import type { CancelTimer } from '../ports/Timers.js';
import type { FleetView } from './FleetView.js';
import type { CatchUp, DatagramPurpose, KnownVersions } from './PeerState.js';
import { PeerState, TELLING } from './PeerState.js';

/** Time between rounds of questions. */
export const PEER_PERIOD_MS = 250;
/**
 * Time that an answer may take. Other instances are a few milliseconds away, but one
 * with a tenth of a core is busy for some hundred at a time after a change.
 */
const ANSWER_MS = 400;
/**
 * Questions in a row without a sign of life until a peer is suspected. Where a
 * hundredth of all datagrams gets lost, 195 instances that ask four times a second
 * suspect a sound one every three minutes.
 */
const MISSES_TO_SUSPECT = 3;
/**
 * Peers that get urgent news at once; they pass it on. Four steps reach two hundred
 * instances; those that are missed learn it with the next rounds.
 */
const URGENT_FANOUT = 4;
/** News that come within this time are told together. */
const URGENT_PAUSE_MS = 40;
/** Rounds between tries of seeds that are not known as members. */
const SEED_EVERY_ROUNDS = 4;

function kindOf({ question, answerTo }: DatagramPurpose): string {
  if (question !== 0) {
    return 'question';
  }
  return answerTo === 0 ? 'news' : 'answer';
}

/** Keeps instances in touch: membership, configuration, replicas and use. */
export class PeerLoop {
  readonly #state: PeerState;
  readonly #probes: PeerProbes;
  readonly #watch = new MemberStateWatch();
  #pulling = false;
  #endRounds: CancelTimer | null = null;
  #endNews: CancelTimer | null = null;
  #round = 0;

  constructor(
    private readonly context: GatewayContext,
    view: FleetView,
    private readonly link: PeerLink,
  ) {
    this.#state = new PeerState(
      context,
      view,
      (address, how) => {
        this.#catchUp(address, how);
      },
      () => {
        this.spread();
      },
    );
    this.#probes = new PeerProbes(context.membership, context.clock, {
      periodMs: PEER_PERIOD_MS,
      answerMs: ANSWER_MS,
      missesToSuspect: MISSES_TO_SUSPECT,
    });
    view.onNews(() => {
      this.spread();
    });
  }

  /** Listens for other instances and starts to ask them. */
  async start(): Promise<void> {
    await this.link.listen({
      onDatagram: (bytes, from) => {
        this.#onDatagram(bytes, from);
      },
      onPull: theirs => {
        const reply = this.#state.tellAll(theirs);
        this.#state.take(theirs, null);
        return reply;
      },
      onSendFault: (to, err) => {
        this.#noteFault(to, err);
      },
    });
    this.#endRounds = this.context.timers.every(PEER_PERIOD_MS, () => {
      this.#beat();
    });
    this.#beat();
  }

  async stop(): Promise<void> {
    this.#endRounds?.();
    this.#endNews?.();
    await this.link.close();
  }

  /**
   * Tells some members soon; each passes on what is new to it.
   *
   * News often comes in bursts, as when many entries lapse together. What comes
   * while a telling is due goes with it: told one by one, a hundred changes in
   * sixty instances would take seconds of every processor.
   */
  spread(): void {
    this.#endNews ??= this.context.timers.after(URGENT_PAUSE_MS, () => {
      // What is learnt from now on may miss this telling.
      this.#endNews = null;
      this.#someMembers().forEach(({ peerAddress }) => {
        this.#send(peerAddress, TELLING, null);
      });
    });
  }

  /**
   * Tells one member what this instance counted for the duties.
   *
   * @param id - of the member; nothing is sent where it is not known
   */
  tellUsage(id: InstanceId): void {
    const member = this.context.membership.serving.find(
      other => other.id === id,
    );
    if (member) {
      this.context.metrics.peerMessages.inc({ kind: 'usage' });
      const state = this.#state.tellUsage();
      this.link.send(GatewayState.encode(state).finish(), member.peerAddress);
    }
  }

  /** Asks some members for what they know, for a process that stood still. */
  askAround(): void {
    this.#someMembers().forEach(member => {
      this.#ask(member.peerAddress, member);
    });
  }

  #someMembers(): readonly Member[] {
    const { membership, router } = this.context;
    return rotated(membership.serving, router.board.random).slice(
      0,
      URGENT_FANOUT,
    );
  }

  #beat(): void {
    const { membership, router, metrics } = this.context;
    this.#round += 1;
    membership.announce(
      isReady(this.context) ? ownAddress(this.context) : '',
      membership.self.peerAddress,
    );
    const again = this.#probes.beginRound();
    membership.tick();
    [...again, ...membership.targets()].forEach(member => {
      this.#ask(member.peerAddress, member);
    });
    this.#trySeeds();
    if (this.#isReaderDue()) {
      this.askReader();
    }
    router.onInstances(membership.instances);
    metrics.members.set(membership.instances.length);
    this.#noteStates();
  }

  /** Meets instances that no member has told of, as at the very start. */
  #trySeeds(): void {
    if (this.#round % SEED_EVERY_ROUNDS !== 1) {
      return;
    }
    const { membership, settings } = this.context;
    const known = new Set(
      membership.serving.map(({ peerAddress }) => peerAddress),
    );
    settings.seeds
      .filter(seed => !known.has(seed) && seed !== membership.self.peerAddress)
      .forEach(seed => {
        this.#ask(seed, null);
      });
  }

  /** Whether to ask a reader of the store, before this instance has to read itself. */
  #isReaderDue(): boolean {
    const { membership, router, settings } = this.context;
    const ageMs = viewAgeMs(router.board);
    if (!isReaderDue(ageMs, settings.freshWithinMs)) {
      return false;
    }
    const { self, instances } = membership;
    return !isReader(rankOf(self.instance, instances));
  }

  /**
   * Asks an instance that reads the store for what it knows.
   *
   * All others ask the same two. Answered with all that they run and have heard, one
   * of two hundred instances sent 325 KB a second (virtual time, sixty backend servers),
   * which is a good part of a small link.
   */
  askReader(): void {
    const { membership, router } = this.context;
    const readers = readersOf(membership.instances);
    const known = membership.serving.filter(({ id }) => readers.includes(id));
    const reader = rotated(known, router.board.random).find(
      ({ peerAddress }) => !this.#probes.awaits(peerAddress),
    );
    if (reader) {
      this.#ask(reader.peerAddress, reader, true);
    }
  }

  #ask(address: string, member: Member | null, viewOnly = false): void {
    const question = this.#probes.ask(address, member);
    // Changes are news, and told as such; whoever missed them asks back. Sent with
    // each question they would be two thirds of its bytes.
    this.#send(address, { question, answerTo: 0, viewOnly }, this.#state.known);
  }

  #send(
    address: string,
    purpose: DatagramPurpose,
    theirs: KnownVersions | null,
  ): void {
    this.context.metrics.peerMessages.inc({ kind: kindOf(purpose) });
    const state = this.#state.tell(purpose, theirs);
    this.link.send(GatewayState.encode(state).finish(), address);
  }

  #onDatagram(bytes: Uint8Array, address: string): void {
    const state = this.#decode(bytes, address);
    if (!state?.heartbeat) {
      return;
    }
    const { question, answerTo, heartbeat } = state;
    const from = brand<InstanceId>(heartbeat.instance);
    const askedMs = this.#probes.onHeard(from, answerTo);
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
    this.#state.take(state, askedMs);
  }

  #decode(bytes: Uint8Array, from: string): GatewayState | null {
    try {
      return GatewayState.decode(bytes);
    } catch (err) {
      this.#noteFault(from, err);
      return null;
    }
  }

  #catchUp(address: string, how: CatchUp): void {
    if (how === 'ask') {
      if (!this.#probes.awaits(address)) {
        this.#ask(address, null);
      }
      return;
    }
    void this.#pull(address);
  }

  /**
   * Pulls all that is lacking from a peer that is ahead.
   *
   * One at a time: after a change everybody who tells of it is ahead, and the
   * same configuration would come several times.
   */
  async #pull(address: string): Promise<void> {
    if (this.#pulling) {
      return;
    }
    this.#pulling = true;
    this.context.metrics.peerMessages.inc({ kind: 'pull' });
    try {
      const state = this.#state.tell(TELLING, null);
      const askedMs = this.context.clock();
      const told = await this.link.pull(address, state);
      this.#state.take(told, askedMs);
    } catch (err) {
      // Whoever tells next of the change is asked next.
      this.context.log.write('pullFailed', {
        peer: address,
        error: err instanceof Error ? err.message : String(err),
      });
    } finally {
      this.#pulling = false;
    }
  }

  #noteFault(address: string, err: unknown): void {
    const error = err instanceof Error ? err.message : String(err);
    this.context.log.write('unexpectedError', { peer: address, error });
  }

  #noteStates(): void {
    const { membership, log } = this.context;
    this.#watch.look(membership.members).forEach(change => {
      log.write('memberChanged', { ...change });
    });
  }
}
