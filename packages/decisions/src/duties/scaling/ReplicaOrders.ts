import type {
  FailureDomainId,
  ReplicaScaling,
  ServiceId,
} from '@jujubecroft/types';

import type { Clock } from '../../blackboard/Blackboard.js';
import type { ReplicaOrder } from '../Holding.js';
import type { ReplicaPlan } from './planReplicas.js';
import { planReplicas, stepTowards } from './planReplicas.js';
import type { ReplicaCensus, ReplicaKind } from './replicaCensus.js';
import { growthOf, kindOfOrder, standingOf } from './replicaCensus.js';

/** Time for which a failure domain counts as having none after it said so. */
const DRY_MS = 1500;
/** Time beyond the start of a replica after which what is missing is ordered again. */
const AGAIN_AFTER_MS = 500;
/** Time for which fewer must be wanted while there is load, in milliseconds. */
const DECREASE_AFTER_MS = 8000;
/** Replicas of a kind that a failure domain gives back at once while there is load. */
const MAX_FEWER = 3;
/** Time until it gives back more, in milliseconds. */
const FEWER_EVERY_MS = 2000;
/** Part of the replicas by which an order has to change to make less of them. */
const MIN_DECREASE_SHARE = 0.15;

/** What orders of one service depend on. */
export interface OrderFacts {
  readonly service: ServiceId;
  readonly scaling: ReplicaScaling;
  readonly census: ReplicaCensus;
  readonly need: number;
  /** Whether there is no load; then nothing is cut off where replicas are given back. */
  readonly isIdle: boolean;
}

interface PlacedOrder {
  readonly order: ReplicaOrder;
  readonly atMs: number;
}

function keyOf(
  service: ServiceId,
  domain: FailureDomainId,
  kind: ReplicaKind,
): string {
  return `${service} ${domain} ${kind}`;
}

/** Names what an order is about, whatever the count. */
function subjectOf(order: ReplicaOrder): string {
  return keyOf(order.service, order.failureDomain, kindOfOrder(order));
}

const KINDS: readonly ReplicaKind[] = ['spot', 'lasting'];

/** Decides which orders of replicas go out, and remembers those in force. */
export class ReplicaOrders {
  readonly #placed = new Map<string, PlacedOrder>();
  readonly #dryUntilMs = new Map<string, number>();
  /** Since when fewer than ordered are wanted. */
  readonly #fewerSinceMs = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /** The orders in force, for the next holder. */
  get inForce(): readonly ReplicaOrder[] {
    return [...this.#placed.values()].map(({ order }) => order);
  }

  /** Goes on with the orders of the holder before. */
  takeOver(orders: readonly ReplicaOrder[]): void {
    this.#placed.clear();
    orders.forEach(order => {
      this.onAccepted(order);
    });
  }

  /** @returns orders that should go out now, those for more replicas first */
  due(facts: OrderFacts): readonly ReplicaOrder[] {
    const { service, scaling, census, need } = facts;
    const planFacts = {
      scaling,
      census,
      need,
      isDry: (domain: FailureDomainId): boolean =>
        this.#isDry(keyOf(service, domain, 'spot')),
    };
    const plan = stepTowards(planFacts, planReplicas(planFacts));
    return this.#changes(facts, plan).sort(
      (a, b) => growthOf(b, census) - growthOf(a, census),
    );
  }

  /** Notes that an order was accepted. */
  onAccepted(order: ReplicaOrder): void {
    this.#placed.set(subjectOf(order), { order, atMs: this.clock() });
  }

  /** Notes that replicas of an order are nowhere to be had in its failure domain. */
  onNoneLeft(order: ReplicaOrder): void {
    this.#dryUntilMs.set(subjectOf(order), this.clock() + DRY_MS);
  }

  #isDry(key: string): boolean {
    const untilMs = this.#dryUntilMs.get(key);
    return untilMs !== undefined && this.clock() < untilMs;
  }

  #changes(facts: OrderFacts, plan: ReplicaPlan): ReplicaOrder[] {
    const { service } = facts;
    return [...plan].flatMap(([failureDomain, wanted]) =>
      KINDS.map(kind => ({
        service,
        failureDomain,
        spot: kind === 'spot',
        count: wanted[kind],
      }))
        .filter(order => !this.#isDry(subjectOf(order)))
        .filter(order => this.#isDue(order, facts))
        .map(order => this.#gently(order, facts)),
    );
  }

  #isDue(order: ReplicaOrder, facts: OrderFacts): boolean {
    const { census, scaling } = facts;
    const standing = standingOf(order, census);
    const key = subjectOf(order);
    const placed = this.#placed.get(key);
    const before = placed?.order.count ?? standing;
    if (order.count < before && order.count < standing) {
      return this.#isDecreaseDue(key, before - order.count, before, facts);
    }
    this.#fewerSinceMs.delete(key);
    if (order.count > before) {
      return true;
    }
    // What was reclaimed, crashed or never came is ordered once more.
    return (
      placed !== undefined &&
      standing < order.count &&
      this.clock() - placed.atMs > scaling.bootMs + AGAIN_AFTER_MS
    );
  }

  /**
   * Gives back a few at a time while there is load.
   *
   * Guards against leaves of dozens of replicas within milliseconds, which all instances
   * have to learn of at once, and against answers that are cut off together.
   */
  #gently(order: ReplicaOrder, { census, isIdle }: OrderFacts): ReplicaOrder {
    const standing = standingOf(order, census);
    return isIdle || order.count >= standing
      ? order
      : { ...order, count: Math.max(order.count, standing - MAX_FEWER) };
  }

  /**
   * Whether replicas are to be given back now.
   *
   * What runs there longest is cut off, and the next burst may need them again.
   */
  #isDecreaseDue(
    key: string,
    lessBy: number,
    before: number,
    { isIdle }: OrderFacts,
  ): boolean {
    if (isIdle) {
      return true;
    }
    const sinceMs = this.#fewerSinceMs.get(key) ?? this.clock();
    this.#fewerSinceMs.set(key, sinceMs);
    const isWanted =
      lessBy > MIN_DECREASE_SHARE * before &&
      this.clock() - sinceMs >= DECREASE_AFTER_MS;
    const placedMs = this.#placed.get(key)?.atMs ?? -Infinity;
    return isWanted && this.clock() - placedMs >= FEWER_EVERY_MS;
  }
}
