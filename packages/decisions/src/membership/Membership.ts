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

/** Entry of the platform's list of instances. */
export interface ListedMember {
  readonly id: InstanceId;
  readonly failureDomain: FailureDomainId;
  readonly callerAddress: string;
  readonly peerAddress: string;
  readonly state: 'leaving' | 'live';
}

/** Identity and addresses of this instance, as sent with its heartbeats. */
export interface OwnIdentity {
  readonly instance: InstanceId;
  readonly failureDomain: FailureDomainId;
  callerAddress: string;
  peerAddress: string;
}

/** Parameters of the membership protocol. */
export interface MembershipOptions {
  /**
   * Number of members that are sent a heartbeat in each period.
   *
   * @param members - number of known members
   */
  readonly fanout: (members: number) => number;
  /** Length of a period, in milliseconds. */
  readonly periodMs: number;
  /**
   * Time within which a suspect can refute the suspicion, in milliseconds.
   *
   * @param members - number of known members
   */
  readonly suspicionTimeoutMs: (members: number) => number;
  /** Maximum number of facts in one heartbeat. */
  readonly maxFacts: number;
  /**
   * Time after which failed and leaving instances are removed once the platform no
   * longer lists them, in milliseconds.
   */
  readonly removeAfterMs: number;
  /**
   * Initial incarnation of this run of the instance. It must be higher than that of
   * earlier runs; otherwise facts about the end of an earlier run would apply to this one.
   */
  readonly incarnation: number;
}

export const DEFAULT_MEMBERSHIP: MembershipOptions = {
  fanout: () => 2,
  periodMs: 1000,
  suspicionTimeoutMs: () => 4000,
  maxFacts: 12,
  removeAfterMs: 60_000,
  incarnation: 1,
};

/** With equal incarnations, the state with the higher value overrides the other one. */
const STATE_PRECEDENCE: Readonly<Record<MemberState, number>> = {
  live: 0,
  suspect: 1,
  leaving: 2,
  failed: 3,
};

/** The members of the fleet by state. */
interface MemberLists {
  readonly members: readonly Member[];
  readonly serving: readonly Member[];
  readonly probeable: readonly Member[];
  readonly failed: readonly Member[];
  readonly instances: readonly InstanceId[];
}

function listMembers(self: InstanceId, known: Iterable<Member>): MemberLists {
  const members = [...known];
  const serving = members.filter(
    ({ state }) => state === 'live' || state === 'suspect',
  );
  return {
    members,
    serving,
    probeable: members.filter(({ state }) => state !== 'failed'),
    failed: members.filter(({ state }) => state === 'failed'),
    instances: [self, ...serving.map(({ id }) => id)],
  };
}

/**
 * Membership of the fleet by random probing with indirect checks.
 *
 * In each period a limited number of members is sent a heartbeat, so the cost per
 * instance does not grow with the fleet. Changes spread as facts in the heartbeats.
 * See docs/design/membership.md.
 */
export class Membership {
  readonly #members = new Map<InstanceId, Member>();
  readonly #gossip: GossipQueue;
  /** Lists of the members; null after a member or its state has changed. */
  #lists: MemberLists | null = null;
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

  /** All known members. The array is the same until a member or its state changes. */
  get members(): readonly Member[] {
    return this.#currentLists.members;
  }

  /** Members that count as serving; suspects do so until they fail. */
  get serving(): readonly Member[] {
    return this.#currentLists.serving;
  }

  /** Sets the addresses of this instance once its ports are known. */
  announce(callerAddress: string, peerAddress: string): void {
    this.self.callerAddress = callerAddress;
    this.self.peerAddress = peerAddress;
  }

  /**
   * All serving instances, this one first. The array is the same until an instance
   * joins, leaves or fails, so that results derived from it can be cached.
   */
  get instances(): readonly InstanceId[] {
    return this.#currentLists.instances;
  }

  /**
   * The lists are kept until they change: an idle instance reads them several times in
   * each round, in each duty step and for each message.
   */
  get #currentLists(): MemberLists {
    this.#lists ??= listMembers(this.self.instance, this.#members.values());
    return this.#lists;
  }

  /** Marks this instance as leaving in its next heartbeats. */
  leave(): void {
    this.#leaving = true;
  }

  /**
   * Merges the platform's list of instances.
   *
   * The list lags behind, so it can add members and mark them as leaving, but cannot
   * change a failed or leaving member back to live.
   *
   * @param list - the complete list
   */
  onList(list: readonly ListedMember[]): void {
    const listedIds = new Set(list.map(({ id }) => id));
    this.#members.forEach(member => {
      member.listed = listedIds.has(member.id);
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
   * Selects the members for the heartbeats of this period.
   *
   * Members are taken from a shuffled list that is reshuffled when it is used up, so
   * each one is probed within a bounded number of periods. One failed member that the
   * platform still lists is included, so that the fleet recovers from a partition.
   */
  targets(): readonly Member[] {
    const chosen: Member[] = [];
    const probeable = this.#currentLists.probeable.length;
    const count = Math.min(this.options.fanout(this.#members.size), probeable);
    while (chosen.length < count) {
      const next = this.#nextTarget();
      if (next && !chosen.includes(next)) {
        chosen.push(next);
      }
    }
    const failed = this.#currentLists.failed.filter(({ listed }) => listed);
    const retried = failed[Math.floor(this.random() * failed.length)];
    return retried ? [...chosen, retried] : chosen;
  }

  /**
   * Selects random members for an indirect check.
   *
   * @param except - member to be checked
   * @param count - maximum number of members
   */
  indirectProbers(except: InstanceId, count: number): readonly Member[] {
    const others = this.#currentLists.probeable.filter(
      ({ id }) => id !== except,
    );
    return rotated(others, this.random).slice(0, count);
  }

  /**
   * Builds the next heartbeat of this instance.
   *
   * @param state - current state of this instance
   * @param includesFacts - whether the heartbeat carries facts about other members
   */
  message(
    state: Pick<HeartbeatFacts, 'inFlight' | 'revision'>,
    includesFacts = true,
  ): HeartbeatFacts {
    return {
      ...this.self,
      ...state,
      incarnation: this.#incarnation,
      leaving: this.#leaving,
      facts: includesFacts ? this.#gossip.nextFacts(this.serving) : [],
    };
  }

  /** Processes a heartbeat or the reply to one. */
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
    // A heartbeat that was written before the leave may arrive after it. If it reset the
    // state to live, callers would be sent to an instance that is stopping. An instance
    // that really returns has a higher incarnation.
    const isOutdated = member.state === 'leaving' && state === 'live';
    if (isNewer || (member.state !== 'failed' && !isOutdated)) {
      this.#change(member, state, message.incarnation);
    } else {
      // The sender does not know yet that it is considered failed or leaving; the reply
      // carries this fact.
      this.#enqueueGossip(member);
    }
    message.facts.forEach(fact => {
      this.#onFact(fact);
    });
  }

  /**
   * Records that neither direct nor indirect checks reached a member.
   *
   * Guards against false suspicion after a process pause: if this instance itself was
   * stalled, replies that it missed say nothing about the other members.
   */
  onUnreachable(id: InstanceId): void {
    const member = this.#members.get(id);
    const isStalled =
      this.clock() - this.#lastTickMs > 2 * this.options.periodMs;
    if (member?.state === 'live' && !isStalled) {
      this.#change(member, 'suspect', member.incarnation);
    }
  }

  /**
   * Performs the periodic work: suspects that did not refute the suspicion in time
   * become failed, and failed or leaving members that are no longer listed are removed.
   */
  tick(): void {
    const nowMs = this.clock();
    const { removeAfterMs } = this.options;
    const suspicionTimeoutMs = this.options.suspicionTimeoutMs(
      this.#members.size,
    );
    this.#lastTickMs = nowMs;
    this.members.forEach(member => {
      const ageMs = nowMs - member.sinceMs;
      if (member.state === 'suspect' && ageMs > suspicionTimeoutMs) {
        this.#change(member, 'failed', member.incarnation);
      }
      const gone = member.state === 'failed' || member.state === 'leaving';
      if (gone && !member.listed && ageMs > removeAfterMs) {
        this.#members.delete(member.id);
        this.#lists = null;
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

  /** Adds an instance that is known only from the facts of others. */
  #addFromFact(fact: MemberFact): void {
    const { instance, incarnation, state, peerAddress } = fact;
    if (state === 'live' && peerAddress !== '') {
      this.#add({ ...fact, id: instance }, incarnation, 'live');
    }
  }

  /**
   * Raises the incarnation of this instance if a fact wrongly states that it is suspect,
   * failed or leaving. Facts about a lower incarnation no longer apply.
   */
  #refute(fact: MemberFact): void {
    const isContested =
      fact.state === 'suspect' ||
      fact.state === 'failed' ||
      (fact.state === 'leaving' && !this.#leaving);
    if (isContested && fact.incarnation >= this.#incarnation) {
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
    this.#lists = null;
    member.sinceMs = this.clock();
    this.#enqueueGossip(member);
  }

  #enqueueGossip(member: Member): void {
    this.#gossip.enqueue(member, this.#members.size + 1);
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
    return this.#currentLists.probeable
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
    this.#lists = null;
    return member;
  }
}
