import type { FailureDomainId, InstanceId } from '@jujubecroft/types';

import type { Clock } from '../blackboard/Blackboard.js';
import { rotated } from '../util/rotated.js';
import { GossipQueue } from './GossipQueue.js';
import type {
  HeartbeatFacts,
  Member,
  MemberFact,
  MemberState,
} from './Member.js';

/** What the platform's list says of an instance. */
export interface ListedMember {
  readonly id: InstanceId;
  readonly failureDomain: FailureDomainId;
  readonly callerAddress: string;
  readonly peerAddress: string;
  readonly state: 'leaving' | 'live';
}

/** Own part of a heartbeat that others keep up to date. */
export interface OwnIdentity {
  readonly instance: InstanceId;
  readonly failureDomain: FailureDomainId;
  callerAddress: string;
  peerAddress: string;
}

export interface MembershipOptions {
  /**
   * Members that get a heartbeat in each period.
   *
   * @param members - how many are known
   */
  readonly fanout: (members: number) => number;
  readonly periodMs: number;
  /**
   * Time that a suspect has to refute the suspicion.
   *
   * @param members - how many are known
   */
  readonly suspectMs: (members: number) => number;
  /** News items carried by one heartbeat. */
  readonly maxFacts: number;
  /** Failed instances that the list no longer names are forgotten after this. */
  readonly removeAfterMs: number;
  /**
   * Number of this run of the instance; a later run needs a higher one, or news
   * of the earlier run's end would count against it.
   */
  readonly incarnation: number;
}

export const DEFAULT_MEMBERSHIP: MembershipOptions = {
  fanout: () => 2,
  periodMs: 1000,
  suspectMs: () => 4000,
  maxFacts: 12,
  removeAfterMs: 60_000,
  incarnation: 1,
};

const STATE_PRECEDENCE: Readonly<Record<MemberState, number>> = {
  live: 0,
  suspect: 1,
  leaving: 2,
  failed: 3,
};

/**
 * Membership of the fleet by random probing with indirect checks.
 *
 * Each period a fixed number of members gets a heartbeat, so the cost per
 * instance does not grow with the fleet; news spreads with the heartbeats.
 * See docs/design/membership.md.
 */
export class Membership {
  readonly #members = new Map<InstanceId, Member>();
  readonly #gossip: GossipQueue;
  #probeOrder: InstanceId[] = [];
  #incarnation: number;
  #leaving = false;
  #lastTickMs: number;

  constructor(
    readonly self: OwnIdentity,
    private readonly clock: Clock,
    private readonly random: () => number,
    private readonly options: MembershipOptions = DEFAULT_MEMBERSHIP,
  ) {
    this.#lastTickMs = clock();
    this.#incarnation = options.incarnation;
    this.#gossip = new GossipQueue(random, options.maxFacts);
  }

  get members(): readonly Member[] {
    return [...this.#members.values()];
  }

  /** Members that count as serving; suspects still do until they fail. */
  get serving(): readonly Member[] {
    return this.members.filter(
      ({ state }) => state === 'live' || state === 'suspect',
    );
  }

  /** Sets the own addresses once the ports are known. */
  announce(callerAddress: string, peerAddress: string): void {
    this.self.callerAddress = callerAddress;
    this.self.peerAddress = peerAddress;
  }

  /** Every serving instance, this one first. */
  get instances(): readonly InstanceId[] {
    return [this.self.instance, ...this.serving.map(({ id }) => id)];
  }

  /** Tells the others with the next heartbeats that this instance stops. */
  leave(): void {
    this.#leaving = true;
  }

  /** Takes over the platform's list, which lags: it adds and marks, never revives. */
  onList(list: readonly ListedMember[]): void {
    const named = new Set(list.map(({ id }) => id));
    this.#members.forEach(member => {
      member.listed = named.has(member.id);
    });
    list
      .filter(({ id }) => id !== this.self.instance)
      .forEach(listed => {
        const known = this.#members.get(listed.id);
        if (!known) {
          this.#add(listed, 0, listed.state);
          return;
        }
        if (listed.state === 'leaving') {
          this.#change(known, 'leaving', known.incarnation);
        }
      });
  }

  /**
   * Chooses the members for the heartbeats of this period.
   *
   * Members are taken in a shuffled order that is drawn anew when it is used
   * up, so each is probed within a bounded number of periods. One listed member
   * that counts as failed is tried as well, which heals a partition.
   */
  targets(): readonly Member[] {
    const chosen: Member[] = [];
    const probeable = this.#probeable().length;
    const wanted = Math.min(this.options.fanout(this.#members.size), probeable);
    while (chosen.length < wanted) {
      const next = this.#nextTarget();
      if (next && !chosen.includes(next)) {
        chosen.push(next);
      }
    }
    const failed = this.members.filter(
      ({ state, listed }) => state === 'failed' && listed,
    );
    const revived = failed[Math.floor(this.random() * failed.length)];
    return revived ? [...chosen, revived] : chosen;
  }

  /** Members that can check a suspect from elsewhere. */
  helpers(except: InstanceId, count: number): readonly Member[] {
    const others = this.#probeable().filter(({ id }) => id !== except);
    return rotated(others, this.random).slice(0, count);
  }

  /**
   * The next heartbeat of this instance.
   *
   * @param state - of the instance
   * @param tellsNews - false for one that says nothing of other members
   */
  message(
    state: Pick<HeartbeatFacts, 'inFlight' | 'revision'>,
    tellsNews = true,
  ): HeartbeatFacts {
    return {
      ...this.self,
      ...state,
      incarnation: this.#incarnation,
      leaving: this.#leaving,
      facts: tellsNews ? this.#gossip.nextFacts(this.serving) : [],
    };
  }

  /** Takes in a heartbeat or the reply to one. */
  onMessage(message: HeartbeatFacts): void {
    const member =
      this.#members.get(message.instance) ??
      this.#add(
        { ...message, id: message.instance },
        message.incarnation,
        'live',
      );
    member.lastHeardMs = this.clock();
    member.failureDomain = message.failureDomain;
    member.callerAddress = message.callerAddress;
    member.peerAddress = message.peerAddress;
    member.revision = message.revision;
    member.inFlight = message.inFlight;
    const state = message.leaving ? 'leaving' : 'live';
    const isNewer = message.incarnation > member.incarnation;
    // A heartbeat that was written before the leave may come after it. Taken for
    // a return, callers are sent to an instance that is stopping; who really comes
    // back has a higher incarnation.
    const isOutdated = member.state === 'leaving' && state === 'live';
    if (isNewer || (member.state !== 'failed' && !isOutdated)) {
      this.#change(member, state, message.incarnation);
    } else {
      // It does not know yet that others gave it up; the reply tells it.
      this.#enqueueGossip(member);
    }
    message.facts.forEach(fact => {
      this.#onFact(fact);
    });
  }

  /**
   * Takes note that neither direct nor indirect checks reached a member.
   *
   * Guards against suspicion by a paused process: when this instance itself
   * was held up, its missed replies say nothing about others.
   */
  onUnreachable(id: InstanceId): void {
    const member = this.#members.get(id);
    const heldUp = this.clock() - this.#lastTickMs > 2 * this.options.periodMs;
    if (member?.state === 'live' && !heldUp) {
      this.#change(member, 'suspect', member.incarnation);
    }
  }

  /** Periodic work: suspects that were not refuted fail; old failures go. */
  tick(): void {
    const nowMs = this.clock();
    const { removeAfterMs } = this.options;
    const suspectMs = this.options.suspectMs(this.#members.size);
    this.#lastTickMs = nowMs;
    this.members.forEach(member => {
      const ageMs = nowMs - member.sinceMs;
      if (member.state === 'suspect' && ageMs > suspectMs) {
        this.#change(member, 'failed', member.incarnation);
      }
      const gone = member.state === 'failed' || member.state === 'leaving';
      if (gone && !member.listed && ageMs > removeAfterMs) {
        this.#members.delete(member.id);
      }
    });
  }

  #onFact(fact: MemberFact): void {
    if (fact.instance === this.self.instance) {
      this.#refute(fact);
      return;
    }
    const member = this.#members.get(fact.instance);
    if (!member) {
      this.#addFromFact(fact);
      return;
    }
    if (member.callerAddress === '' && fact.state === 'live') {
      member.callerAddress = fact.callerAddress;
    }
    const newer = fact.incarnation > member.incarnation;
    const worse =
      fact.incarnation === member.incarnation &&
      STATE_PRECEDENCE[fact.state] > STATE_PRECEDENCE[member.state];
    if (newer || worse) {
      this.#change(member, fact.state, fact.incarnation);
    }
  }

  /** Others may know instances that this one has never met. */
  #addFromFact(fact: MemberFact): void {
    const { instance, incarnation, state, peerAddress } = fact;
    if (state === 'live' && peerAddress !== '') {
      this.#add({ ...fact, id: instance }, incarnation, 'live');
    }
  }

  /** A higher incarnation overrules every suspicion of an earlier one. */
  #refute(fact: MemberFact): void {
    const accused =
      fact.state === 'suspect' ||
      fact.state === 'failed' ||
      (fact.state === 'leaving' && !this.#leaving);
    if (accused && fact.incarnation >= this.#incarnation) {
      this.#incarnation = fact.incarnation + 1;
    }
  }

  #change(member: Member, state: MemberState, incarnation: number): void {
    const raised = incarnation > member.incarnation;
    member.incarnation = Math.max(incarnation, member.incarnation);
    if (member.state === state) {
      if (raised) {
        this.#enqueueGossip(member);
      }
      return;
    }
    member.state = state;
    member.sinceMs = this.clock();
    this.#enqueueGossip(member);
  }

  #enqueueGossip(member: Member): void {
    this.#gossip.enqueue(member, this.#members.size + 1);
  }

  #probeable(): readonly Member[] {
    return this.members.filter(({ state }) => state !== 'failed');
  }

  #nextTarget(): Member | undefined {
    if (this.#probeOrder.length === 0) {
      this.#probeOrder = this.#shuffled();
    }
    const id = this.#probeOrder.pop();
    const member = id === undefined ? undefined : this.#members.get(id);
    return member?.state === 'failed' ? undefined : member;
  }

  #shuffled(): InstanceId[] {
    return this.#probeable()
      .map(({ id }) => ({ id, rank: this.random() }))
      .sort((a, b) => a.rank - b.rank)
      .map(({ id }) => id);
  }

  #add(
    listed: Omit<ListedMember, 'state'>,
    incarnation: number,
    state: MemberState,
  ): Member {
    const nowMs = this.clock();
    const member: Member = {
      id: listed.id,
      failureDomain: listed.failureDomain,
      callerAddress: listed.callerAddress,
      peerAddress: listed.peerAddress,
      incarnation,
      state,
      sinceMs: nowMs,
      lastHeardMs: nowMs,
      revision: 0,
      inFlight: 0,
      listed: true,
    };
    this.#members.set(member.id, member);
    return member;
  }
}
