import type { InstanceId } from '@jujubecroft/types';

import { rotated } from '../util/rotated.js';
import type { Member, MemberFact } from './Member.js';

/** Heartbeats that carry one piece of news at least, however small the fleet. */
const MIN_TRANSMISSIONS = 4;

interface PendingFact {
  readonly fact: MemberFact;
  left: number;
}

function factOf(member: Member): MemberFact {
  const { id, incarnation, state, failureDomain } = member;
  const { callerAddress, peerAddress } = member;
  return {
    instance: id,
    incarnation,
    state,
    failureDomain,
    callerAddress,
    peerAddress,
  };
}

/** What heartbeats tell of other members: changes first, then whoever serves. */
export class GossipQueue {
  readonly #pending = new Map<InstanceId, PendingFact>();

  /**
   * @param random - draws from [0, 1)
   * @param maxFacts - facts that one heartbeat carries
   */
  constructor(
    private readonly random: () => number,
    private readonly maxFacts: number,
  ) {}

  /**
   * Notes a change, to be told often enough to reach everybody.
   *
   * @param member - that changed
   * @param fleet - instances, this one included
   */
  enqueue(member: Member, fleet: number): void {
    const size = Math.max(2, fleet);
    this.#pending.set(member.id, {
      fact: factOf(member),
      left: MIN_TRANSMISSIONS + Math.ceil(2 * Math.log2(size)),
    });
  }

  /**
   * The facts of one heartbeat.
   *
   * @param serving - members that fill the room which news leave, so that new
   *   instances learn of all
   */
  nextFacts(serving: readonly Member[]): readonly MemberFact[] {
    const news = this.#nextPending();
    const told = new Set(news.map(({ instance }) => instance));
    const others = serving.filter(({ id }) => !told.has(id));
    const rest = rotated(others, this.random)
      .slice(0, this.maxFacts - news.length)
      .map(factOf);
    return [...news, ...rest];
  }

  #nextPending(): readonly MemberFact[] {
    const fresh = [...this.#pending.values()]
      .sort((a, b) => b.left - a.left)
      .slice(0, this.maxFacts);
    fresh.forEach(news => {
      news.left -= 1;
      if (news.left <= 0) {
        this.#pending.delete(news.fact.instance);
      }
    });
    return fresh.map(({ fact }) => fact);
  }
}
