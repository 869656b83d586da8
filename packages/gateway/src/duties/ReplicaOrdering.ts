import type {
  DutyNotes,
  ReplicaOrder,
  ServiceNeed,
} from '@jujubecroft/decisions';
import {
  CapacityNeed,
  growthOf,
  replicaCensus,
  ReplicaOrders,
  lastingInAll,
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
import type { HoldingKeeper } from './HoldingKeeper.js';

/** Time between looks at the load, in milliseconds. */
const LOOK_EVERY_MS = 300;
/** Time after taking the duties in which the load of the fleet is not known yet. */
const LEARN_MS = 1000;
/** Time without another replica after which all that started with the fleet are there. */
const SETTLE_MS = 2000;

interface FirstCount {
  readonly lasting: number;
  readonly sinceMs: number;
}

interface KnownNeed {
  readonly need: CapacityNeed;
  /** False while replicas that started with the fleet are still coming. */
  readonly isSettled: boolean;
}

/** Orders and gives back replicas, while this instance is the holder. */
export class ReplicaOrdering {
  readonly #orders: ReplicaOrders;
  readonly #needs = new Map<ServiceId, CapacityNeed>();
  /** Replicas that stand before the first were given back, and since when. */
  readonly #first = new Map<ServiceId, FirstCount>();
  #isAtWork = false;
  #lookedMs = -Infinity;
  #learntMs = Infinity;

  constructor(
    private readonly context: GatewayContext,
    private readonly platform: DutyPlatform,
    private readonly calls: DutyCalls,
    private readonly keeper: HoldingKeeper,
  ) {
    this.#orders = new ReplicaOrders(context.clock);
  }

  /** The orders in force. */
  get inForce(): readonly ReplicaOrder[] {
    return this.#orders.inForce;
  }

  /** What the services need, for the next holder. */
  get needs(): readonly ServiceNeed[] {
    return [...this.#needs].map(([service, { replicas }]) => ({
      service,
      replicas: Math.ceil(replicas),
    }));
  }

  /** Goes on where the holder before left off. */
  takeOver({ orders, needs }: Pick<DutyNotes, 'needs' | 'orders'>): void {
    const { clock } = this.context;
    this.#orders.takeOver(orders);
    this.#needs.clear();
    needs.forEach(({ service, replicas }) => {
      this.#needs.set(service, new CapacityNeed(replicas, clock));
    });
    this.#learntMs = clock() + LEARN_MS;
  }

  /**
   * Looks at the load, and places the orders that are due.
   *
   * @returns whether any order changed
   */
  async step(): Promise<boolean> {
    const { clock } = this.context;
    const nowMs = clock();
    const isDue =
      nowMs - this.#lookedMs >= LOOK_EVERY_MS && nowMs >= this.#learntMs;
    if (this.#isAtWork || !isDue) {
      return false;
    }
    this.#isAtWork = true;
    this.#lookedMs = nowMs;
    try {
      const due = this.#scaled.flatMap(service => this.#due(service));
      return await this.#place(due);
    } finally {
      this.#isAtWork = false;
    }
  }

  get #scaled(): readonly RoutedService[] {
    const { table } = this.context.router.board;
    return (table?.cfg.services ?? []).filter(({ scaling }) => scaling);
  }

  #due(service: RoutedService): readonly ReplicaOrder[] {
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
    const { need, isSettled } = this.#needOf(id, lastingInAll(census));
    const replicas = need.observe({ inFlight, slots, most });
    const due = this.#orders
      .due({
        service: id,
        scaling,
        census,
        need: replicas,
        isIdle: inFlight === 0,
      })
      .filter(order => isSettled || growthOf(order, census) > 0);
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
   * What a service needs. Before any load was seen, that is what stands there, as its
   * operators thought right.
   *
   * @param service - that is looked at
   * @param lasting - its replicas that nobody can reclaim
   */
  #needOf(service: ServiceId, lasting: number): KnownNeed {
    const known = this.#needs.get(service);
    if (known) {
      return { need: known, isSettled: true };
    }
    const { clock } = this.context;
    const need = new CapacityNeed(lasting, clock);
    const first = this.#first.get(service);
    if (first?.lasting !== lasting) {
      this.#first.set(service, { lasting, sinceMs: clock() });
    }
    const isSettled =
      lasting > 0 &&
      first?.lasting === lasting &&
      clock() - first.sinceMs >= SETTLE_MS;
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
        // Carried out late, it must not take back what is ordered after it.
        this.keeper.renumber();
      }
      return false;
    }
    const { log } = this.context;
    log.write('replicasOrdered', { ...order, answer });
    if (answer === 'refused') {
      this.#orders.onNoneLeft(order);
      // A higher token is refused the same way; the store tells which it is.
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
