import type { InstanceId } from '@jujubecroft/types';

import { firstRotated } from '../util/rotated.js';
import type { Member, MemberFact } from './Member.js';

/** Minimum number of heartbeats that carry a changed fact, however small the fleet. */
const MIN_TRANSMISSIONS = 4;

interface PendingFact {
  readonly fact: MemberFact;
  /** Heartbeats that are still to carry the fact. */
  left: number;
}

/** The latest fact about each member, so that its encoded form can be cached. */
const latestFacts = new WeakMap<Member, MemberFact>();

function isUpToDate(fact: MemberFact, member: Member): boolean {
  return (
    fact.incarnation === member.incarnation &&
    fact.state === member.state &&
    fact.callerAddress === member.callerAddress &&
    fact.peerAddress === member.peerAddress &&
    fact.failureDomain === member.failureDomain
  );
}

/** @returns the fact about a member; the same object until the member changes */
function factOf(member: Member): MemberFact {
  const known = latestFacts.get(member);
  if (known && isUpToDate(known, member)) {
    return known;
  }
  const { id, incarnation, state, failureDomain } = member;
  const { callerAddress, peerAddress } = member;
  const fact = {
    instance: id,
    incarnation,
    state,
    failureDomain,
    callerAddress,
    peerAddress,
  };
  latestFacts.set(member, fact);
  return fact;
}

/** Selects the facts that heartbeats carry: recent changes first, then serving members. */
export class GossipQueue {
  readonly #pending = new Map<InstanceId, PendingFact>();

  /**
   * @param random - random numbers from [0, 1)
   * @param maxFacts - maximum number of facts in one heartbeat
   */
  constructor(
    private readonly random: () => number,
    private readonly maxFacts: number,
  ) {}

  /**
   * Schedules a changed member for enough heartbeats to reach every instance.
   *
   * @param member - member that has changed
   * @param fleetSize - number of instances, including this one
   */
  enqueue(member: Member, fleetSize: number): void {
    const size = Math.max(2, fleetSize);
    this.#pending.set(member.id, {
      fact: factOf(member),
      left: MIN_TRANSMISSIONS + Math.ceil(2 * Math.log2(size)),
    });
  }

  /**
   * Selects the facts of the next heartbeat.
   *
   * @param serving - serving members that fill the remaining space, so that new
   *   instances learn of all members
   * @returns facts, changes first
   */
  nextFacts(serving: readonly Member[]): readonly MemberFact[] {
    const changes = this.#nextPending();
    const changed = new Set(changes.map(({ instance }) => instance));
    const others =
      changes.length === 0
        ? serving
        : serving.filter(({ id }) => !changed.has(id));
    const rest = firstRotated(
      others,
      this.random,
      this.maxFacts - changes.length,
    ).map(factOf);
    return [...changes, ...rest];
  }

  #nextPending(): readonly MemberFact[] {
    if (this.#pending.size === 0) {
      return [];
    }
    const selected = [...this.#pending.values()]
      .sort((a, b) => b.left - a.left)
      .slice(0, this.maxFacts);
    selected.forEach(pending => {
      pending.left -= 1;
      if (pending.left <= 0) {
        this.#pending.delete(pending.fact.instance);
      }
    });
    return selected.map(({ fact }) => fact);
  }
}
