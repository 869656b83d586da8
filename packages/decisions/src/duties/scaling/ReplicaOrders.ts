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
import { addedReplicas, orderedKind, activeFor } from './replicaCensus.js';

/** Time for which a failure domain counts as out of capacity after it refused an order. */
const UNAVAILABLE_MS = 1500;
/** Time beyond the boot time of a replica after which a missing replica is reordered. */
const REORDER_DELAY_MS = 500;
/** Time for which a surplus must last before replicas are released under load. */
const DECREASE_DELAY_MS = 8000;
/** Replicas of one kind that a failure domain releases at once under load. */
const MAX_DECREASE_STEP = 3;
/** Minimum time between two such releases. */
const DECREASE_INTERVAL_MS = 2000;
/** Minimum share of the ordered replicas that a decrease under load has to release. */
const MIN_DECREASE_SHARE = 0.15;

/** Inputs of the orders for one service. */
export interface OrderInputs {
  readonly service: ServiceId;
  readonly scaling: ReplicaScaling;
  readonly census: ReplicaCensus;
  /** Number of replicas that the load needs. */
  readonly need: number;
  /** Whether there is no load, so that releasing replicas interrupts no request. */
  readonly isIdle: boolean;
}

interface AcceptedOrder {
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

/** Identifies the service, failure domain and kind of an order, but not its count. */
function orderKeyOf(order: ReplicaOrder): string {
  return keyOf(order.service, order.failureDomain, orderedKind(order));
}

const KINDS: readonly ReplicaKind[] = ['spot', 'lasting'];

/** Decides which replica orders to send and keeps track of the accepted ones. */
export class ReplicaOrders {
  readonly #accepted = new Map<string, AcceptedOrder>();
  readonly #unavailableUntilMs = new Map<string, number>();
  /** Local time since which fewer replicas than ordered are wanted, by order key. */
  readonly #surplusSinceMs = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /** Accepted orders in force, to be passed on to the next holder. */
  get inForce(): readonly ReplicaOrder[] {
    return [...this.#accepted.values()].map(({ order }) => order);
  }

  /** Replaces the accepted orders by those of the previous holder. */
  takeOver(orders: readonly ReplicaOrder[]): void {
    this.#accepted.clear();
    orders.forEach(order => {
      this.onAccepted(order);
    });
  }

  /** @returns orders to send now, largest increase first */
  due(inputs: OrderInputs): readonly ReplicaOrder[] {
    const { service, scaling, census, need } = inputs;
    const planInputs = {
      scaling,
      census,
      need,
      isSpotUnavailable: (domain: FailureDomainId): boolean =>
        this.#isUnavailable(keyOf(service, domain, 'spot')),
    };
    const plan = stepTowards(planInputs, planReplicas(planInputs));
    return this.#changedOrders(inputs, plan).sort(
      (a, b) => addedReplicas(b, census) - addedReplicas(a, census),
    );
  }

  /** Records that the platform accepted an order. */
  onAccepted(order: ReplicaOrder): void {
    this.#accepted.set(orderKeyOf(order), { order, atMs: this.clock() });
  }

  /** Records that the failure domain of an order is out of replicas of its kind. */
  onUnavailable(order: ReplicaOrder): void {
    this.#unavailableUntilMs.set(
      orderKeyOf(order),
      this.clock() + UNAVAILABLE_MS,
    );
  }

  #isUnavailable(key: string): boolean {
    const untilMs = this.#unavailableUntilMs.get(key);
    return untilMs !== undefined && this.clock() < untilMs;
  }

  #changedOrders(inputs: OrderInputs, plan: ReplicaPlan): ReplicaOrder[] {
    const { service } = inputs;
    return [...plan].flatMap(([failureDomain, wanted]) =>
      KINDS.map(kind => ({
        service,
        failureDomain,
        spot: kind === 'spot',
        count: wanted[kind],
      }))
        .filter(order => !this.#isUnavailable(orderKeyOf(order)))
        .filter(order => this.#isDue(order, inputs))
        .map(order => this.#limitDecrease(order, inputs)),
    );
  }

  #isDue(order: ReplicaOrder, inputs: OrderInputs): boolean {
    const { census, scaling } = inputs;
    const active = activeFor(order, census);
    const key = orderKeyOf(order);
    const accepted = this.#accepted.get(key);
    const previousCount = accepted?.order.count ?? active;
    if (order.count < previousCount && order.count < active) {
      return this.#isDecreaseDue(
        key,
        previousCount - order.count,
        previousCount,
        inputs,
      );
    }
    this.#surplusSinceMs.delete(key);
    if (order.count > previousCount) {
      return true;
    }
    // Replaces replicas that were reclaimed, crashed or never started.
    return (
      accepted !== undefined &&
      active < order.count &&
      this.clock() - accepted.atMs > scaling.bootMs + REORDER_DELAY_MS
    );
  }

  /**
   * Limits how many replicas are released at a time under load.
   *
   * Guards against dozens of replicas leaving within milliseconds: every instance would
   * have to learn of all of them at once, and many responses would be cut off together.
   */
  #limitDecrease(
    order: ReplicaOrder,
    { census, isIdle }: OrderInputs,
  ): ReplicaOrder {
    const active = activeFor(order, census);
    return isIdle || order.count >= active
      ? order
      : { ...order, count: Math.max(order.count, active - MAX_DECREASE_STEP) };
  }

  /**
   * Whether replicas are to be released now.
   *
   * Under load, a release waits because it cuts off the longest-running requests and
   * because the next burst may need the replicas again.
   */
  #isDecreaseDue(
    key: string,
    decrease: number,
    previousCount: number,
    { isIdle }: OrderInputs,
  ): boolean {
    if (isIdle) {
      return true;
    }
    const sinceMs = this.#surplusSinceMs.get(key) ?? this.clock();
    this.#surplusSinceMs.set(key, sinceMs);
    const isWanted =
      decrease > MIN_DECREASE_SHARE * previousCount &&
      this.clock() - sinceMs >= DECREASE_DELAY_MS;
    const acceptedMs = this.#accepted.get(key)?.atMs ?? -Infinity;
    return isWanted && this.clock() - acceptedMs >= DECREASE_INTERVAL_MS;
  }
}
