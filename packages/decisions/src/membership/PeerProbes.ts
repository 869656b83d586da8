import type { InstanceId } from '@jujubecroft/types';

import type { Clock } from '../blackboard/Blackboard.js';
import type { Member } from './Member.js';
import type { Membership } from './Membership.js';

/** A probe of another instance that has not been answered yet. */
export interface OutstandingProbe {
  readonly address: string;
  /** Null if the instance is not a known member, for example a seed address. */
  readonly member: Member | null;
  /** Local time at which it was sent, plus any time for which this instance then stalled. */
  askedMs: number;
  /** Local time at which it was sent. */
  readonly sentMs: number;
}

/** Parameters of the probing. */
export interface PeerProbeOptions {
  /** Time between rounds, in milliseconds. */
  readonly periodMs: number;
  /** Time within which a probe is to be answered, in milliseconds. */
  readonly answerTimeoutMs: number;
  /** Consecutive unanswered probes after which a member is suspected. */
  readonly missesToSuspect: number;
}

/**
 * Distinguishes failed members from those whose answers are late or lost.
 *
 * Probes and answers are datagrams, so that a first probe needs no connection. Single
 * datagrams get lost, and a member short of CPU time answers late. A member is therefore
 * suspected only after several consecutive misses without a message of any kind.
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
   * Registers a probe that is about to be sent.
   *
   * @param address - destination address
   * @param member - the probed member; null if the address belongs to no known member
   * @returns number of the probe, which its answer repeats
   */
  ask(address: string, member: Member | null): number {
    // On the wire, 0 means that a message is not a probe.
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

  /** Whether a probe of this address is outstanding. */
  hasOutstanding(address: string): boolean {
    return [...this.#outstanding.values()].some(
      probe => probe.address === address,
    );
  }

  /**
   * Records a message of any kind.
   *
   * Every message resets the misses of its sender, even an answer that arrives too late.
   *
   * @param from - instance that sent the message
   * @param answerTo - number of the probe that it answers; 0 if none
   * @returns local time at which the probe was sent; null if it is not outstanding
   */
  onMessage(from: InstanceId, answerTo: number): number | null {
    const probe = this.#outstanding.get(answerTo);
    this.#outstanding.delete(answerTo);
    this.#misses.delete(from);
    return probe?.sentMs ?? null;
  }

  /**
   * Begins a round and counts the overdue probes as misses.
   *
   * Must be called before the membership's `tick`. Guards against false suspicion by an
   * instance that was stalled itself: its timers run before it reads the answers that have
   * arrived meanwhile, so the stalled time does not count against other members.
   *
   * @returns members to probe again at once, because in a large fleet their next regular
   *   probe may be many seconds away
   */
  beginRound(): readonly Member[] {
    const nowMs = this.clock();
    const { periodMs, answerTimeoutMs } = this.options;
    const stalledMs = Math.max(0, nowMs - this.#lastRoundMs - periodMs);
    this.#lastRoundMs = nowMs;
    const overdue = [...this.#outstanding].filter(([, probe]) => {
      probe.askedMs += stalledMs;
      return nowMs - probe.askedMs > answerTimeoutMs;
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
    // The next probe tells the member that it is suspected, so that it can refute this.
    return member.state === 'suspect' ? [member] : [];
  }
}
