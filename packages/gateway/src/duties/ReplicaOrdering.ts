import type {
  DutyNotes,
  ReplicaOrder,
  ServiceNeed,
} from '@jujubecroft/decisions';
import {
  CapacityEstimator,
  addedReplicas,
  replicaCensus,
  ReplicaOrders,
  totalLasting,
} from '@jujubecroft/decisions';
import type {
  FailureDomainId,
  ReplicaScaling,
  RoutedService,
  ServiceId,
} from '@jujubecroft/types';

import type { GatewayContext } from '../GatewayContext.js';
import type { DutyPlatform } from '../ports/DutyPorts.js';
import type { DutyCalls } from './DutyCalls.js';
import type { DutyLeaseKeeper } from './DutyLeaseKeeper.js';

/** Interval between evaluations of the load, in milliseconds. */
const CHECK_INTERVAL_MS = 300;
/**
 * Time after acquiring the duties until the load of the fleet is known, in
 * milliseconds.
 */
const LOAD_DISCOVERY_MS = 1000;
/**
 * Time without a change in the number of replicas after which all those that start with
 * the fleet are considered present, in milliseconds.
 */
const SETTLED_AFTER_MS = 2000;

interface InitialCount {
  /** Replicas that can't be reclaimed. */
  readonly lasting: number;
  /** Local time since which the number is unchanged. */
  readonly sinceMs: number;
}

interface NeedEstimate {
  readonly need: CapacityEstimator;
  /** False while replicas that start with the fleet are still appearing. */
  readonly isSettled: boolean;
}

/** Orders and gives back replicas while this instance holds the duties. */
export class ReplicaOrdering {
  readonly #orders: ReplicaOrders;
  readonly #needs = new Map<ServiceId, CapacityEstimator>();
  /** Replicas of services whose need isn't known yet. */
  readonly #initialCounts = new Map<ServiceId, InitialCount>();
  #isRunning = false;
  #lastCheckMs = -Infinity;
  #loadKnownMs = Infinity;

  constructor(
    private readonly context: GatewayContext,
    private readonly platform: DutyPlatform,
    private readonly calls: DutyCalls,
    private readonly keeper: DutyLeaseKeeper,
  ) {
    this.#orders = new ReplicaOrders(context.clock);
  }

  /** The orders in force. */
  get inForce(): readonly ReplicaOrder[] {
    return this.#orders.inForce;
  }

  /** Replicas that each service needs, for the next holder. */
  get needs(): readonly ServiceNeed[] {
    return [...this.#needs].map(([service, { replicas }]) => ({
      service,
      replicas: Math.ceil(replicas),
    }));
  }

  /** Continues with the orders and needs of the former holder. */
  takeOver({ orders, needs }: Pick<DutyNotes, 'needs' | 'orders'>): void {
    const { clock } = this.context;
    this.#orders.takeOver(orders);
    this.#needs.clear();
    needs.forEach(({ service, replicas }) => {
      this.#needs.set(service, new CapacityEstimator(replicas, clock));
    });
    this.#loadKnownMs = clock() + LOAD_DISCOVERY_MS;
  }

  /**
   * Evaluates the load, and places the orders that are due.
   *
   * @returns whether any order was accepted
   */
  async step(): Promise<boolean> {
    const { clock } = this.context;
    const nowMs = clock();
    const isDue =
      nowMs - this.#lastCheckMs >= CHECK_INTERVAL_MS &&
      nowMs >= this.#loadKnownMs;
    if (this.#isRunning || !isDue) {
      return false;
    }
    this.#isRunning = true;
    this.#lastCheckMs = nowMs;
    this.context.router.refreshPeerLoad();
    try {
      const due = this.#scaledServices.flatMap(service =>
        this.#dueOrders(service),
      );
      return await this.#place(due);
    } finally {
      this.#isRunning = false;
    }
  }

  get #scaledServices(): readonly RoutedService[] {
    const { table } = this.context.router.board;
    return (table?.cfg.services ?? []).filter(({ scaling }) => scaling);
  }

  #dueOrders(service: RoutedService): readonly ReplicaOrder[] {
    const { scaling, id, engine } = service;
    if (!scaling) {
      return [];
    }
    const { board } = this.context.router;
    const census = replicaCensus(
      board.replicas.replicas,
      id,
      domainsOf(scaling),
    );
    const loads = [...board.backends.values()].filter(
      ({ replica }) => replica.service === id,
    );
    const inFlight = loads.reduce((sum, load) => sum + load.totalInFlight, 0);
    const slots = engine?.slots ?? loads[0]?.replica.slots ?? 1;
    const most = scaling.maxReplicas * census.size;
    const { need, isSettled } = this.#needOf(id, totalLasting(census));
    const replicas = need.observe({ inFlight, slots, most });
    const due = this.#orders
      .due({
        service: id,
        scaling,
        census,
        need: replicas,
        isIdle: inFlight === 0,
      })
      .filter(order => isSettled || addedReplicas(order, census) > 0);
    if (due.length > 0) {
      this.context.log.write('ordersDue', {
        service: id,
        need: Math.round(replicas),
        inFlight: Math.round(inFlight),
        census: Object.fromEntries(census),
        orders: due.length,
      });
    }
    return due;
  }

  /**
   * Returns the estimated need of a service. Without an earlier estimate it starts from
   * the replicas that exist, which are what the operators provided.
   *
   * @param service - the service
   * @param lasting - number of its replicas that can't be reclaimed
   */
  #needOf(service: ServiceId, lasting: number): NeedEstimate {
    const known = this.#needs.get(service);
    if (known) {
      return { need: known, isSettled: true };
    }
    const { clock } = this.context;
    const need = new CapacityEstimator(lasting, clock);
    const first = this.#initialCounts.get(service);
    if (first?.lasting !== lasting) {
      this.#initialCounts.set(service, { lasting, sinceMs: clock() });
    }
    const isSettled =
      lasting > 0 &&
      first?.lasting === lasting &&
      clock() - first.sinceMs >= SETTLED_AFTER_MS;
    if (isSettled) {
      this.#needs.set(service, need);
    }
    return { need, isSettled };
  }

  async #place([order, ...rest]: readonly ReplicaOrder[]): Promise<boolean> {
    if (!order) {
      return false;
    }
    const answer = await this.calls.run('orders', caller =>
      this.platform.orderReplicas(caller, order),
    );
    if (answer === null || answer === 'busy') {
      if (answer === null) {
        // If the platform executes the call late, it must not undo a later order.
        this.keeper.requestNewToken();
      }
      return false;
    }
    const { log } = this.context;
    log.write('replicasOrdered', { ...order, answer });
    if (answer === 'refused') {
      this.#orders.onUnavailable(order);
      // A stale token is refused the same way; reading the row shows which it was.
      this.keeper.verify();
    } else {
      this.#orders.onAccepted(order);
    }
    const others = await this.#place(rest);
    return answer === 'accepted' || others;
  }
}

function domainsOf({
  domainPrices,
}: ReplicaScaling): readonly FailureDomainId[] {
  return Object.keys(domainPrices) as FailureDomainId[];
}
