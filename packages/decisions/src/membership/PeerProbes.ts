import type { InstanceId } from '@jujubecroft/types';

import type { Clock } from '../blackboard/Blackboard.js';
import type { Member } from './Member.js';
import type { Membership } from './Membership.js';

/** A question to another instance that has no answer yet. */
export interface OutstandingProbe {
  readonly address: string;
  /** Null where it isn't known as a member, as a seed. */
  readonly member: Member | null;
  askedMs: number;
  /** When it was sent, whatever has held up this instance since. */
  readonly sentMs: number;
}

export interface PeerProbeOptions {
  /** Time between rounds, in milliseconds. */
  readonly periodMs: number;
  /** Time that an answer may take, in milliseconds. */
  readonly answerMs: number;
  /** Questions in a row without an answer until a member is suspected. */
  readonly missesToSuspect: number;
}

/**
 * Tells members that are gone from those whose answers are late or lost.
 *
 * Questions and answers travel as datagrams, so that asking a member which was
 * never asked before costs no connection. Single ones get lost, and a member
 * with little processor answers late; only several misses in a row without any
 * sign of life make it a suspect.
 */
export class PeerProbes {
  readonly #outstanding = new Map<number, OutstandingProbe>();
  readonly #misses = new Map<InstanceId, number>();
  #lastNumber = 0;
  #lastRoundMs: number;

  constructor(
    private readonly membership: Membership,
    private readonly clock: Clock,
    private readonly options: PeerProbeOptions,
  ) {
    this.#lastRoundMs = clock();
  }

  /**
   * Notes a question.
   *
   * @param address - that it is sent to
   * @param member - null where it isn't known as a member
   * @returns the number that its answer repeats
   */
  ask(address: string, member: Member | null): number {
    // Zero stands for no question on the wire.
    this.#lastNumber += 1;
    const sentMs = this.clock();
    this.#outstanding.set(this.#lastNumber, {
      address,
      member,
      askedMs: sentMs,
      sentMs,
    });
    return this.#lastNumber;
  }

  /** Whether an answer from this address is still awaited. */
  awaits(address: string): boolean {
    return [...this.#outstanding.values()].some(
      question => question.address === address,
    );
  }

  /**
   * Notes a message of any kind.
   *
   * An answer that comes too late is a sign of life all the same.
   *
   * @param from - instance that sent it
   * @param answerTo - question that it answers; 0 for none
   * @returns when the question was sent; null where none is open
   */
  onHeard(from: InstanceId, answerTo: number): number | null {
    const question = this.#outstanding.get(answerTo);
    this.#outstanding.delete(answerTo);
    this.#misses.delete(from);
    return question?.sentMs ?? null;
  }

  /**
   * Begins a round: judges questions whose answers are overdue.
   *
   * Must come before the membership's own round. Guards against suspicion by an
   * instance that was held up itself: answers wait unread behind its timers then,
   * and time in which it did not run doesn't count against the others.
   *
   * @returns members to ask once more at once; in a large fleet their turn would
   *   come again only after many seconds
   */
  beginRound(): readonly Member[] {
    const nowMs = this.clock();
    const { periodMs, answerMs } = this.options;
    const heldUpMs = Math.max(0, nowMs - this.#lastRoundMs - periodMs);
    this.#lastRoundMs = nowMs;
    const overdue = [...this.#outstanding].filter(([, question]) => {
      question.askedMs += heldUpMs;
      return nowMs - question.askedMs > answerMs;
    });
    return overdue.flatMap(([number, { member }]) => {
      this.#outstanding.delete(number);
      return member ? this.#onMiss(member) : [];
    });
  }

  #onMiss(member: Member): readonly Member[] {
    const misses = (this.#misses.get(member.id) ?? 0) + 1;
    if (misses < this.options.missesToSuspect) {
      this.#misses.set(member.id, misses);
      return [member];
    }
    this.#misses.delete(member.id);
    this.membership.onUnreachable(member.id);
    // The next question carries the suspicion, which the suspect can refute.
    return member.state === 'suspect' ? [member] : [];
  }
}
