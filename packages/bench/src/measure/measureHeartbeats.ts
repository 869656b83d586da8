import type { Demand, HeartbeatFacts, Member } from '@jujubecroft/decisions';
import {
  DemandLedger,
  Membership,
  OrganisationLimits,
  OwnerRing,
} from '@jujubecroft/decisions';
import {
  DemandReport,
  fromHeartbeatMessage,
  HeartbeatMessage,
  ShareReply,
  toHeartbeatMessage,
} from '@jujubecroft/operator';
import type {
  FailureDomainId,
  InstanceId,
  Organisation,
  OrganisationId,
} from '@jujubecroft/types';
import { assertDefined, brand, createRandom } from '@jujubecroft/types';

import { fitSlope } from './fitSlope.js';
import type { Slope } from './Measurement.js';

const FLEETS = [46, 93, 185, 370];
const ORGANISATIONS = 510;
const REQUESTS_PER_SECOND = 4100;
const MAX_OWNERS = 4;
const PERIODS = 5;
const WARM_UP = 3;
const PERIOD_MS = 1000;
const REPEATS = 3;
const MICROSECONDS = 1000;

const ORGANISATION_IDS = Array.from({ length: ORGANISATIONS }, (_, index) =>
  brand<OrganisationId>(`organisation-${index}`),
);

const ORGANISATION_LIST: readonly Organisation[] = ORGANISATION_IDS.map(id => ({
  kind: 'organisation',
  id,
  keySha256: '0'.repeat(64),
  weight: 1,
  // Just what each organisation asks for, so that all of them are hot.
  limits: { requestsPerSecond: 8, tokensPerSecond: 1e9 },
}));

/** Control state of one instance. */
interface Node {
  readonly membership: Membership;
  readonly limits: OrganisationLimits;
  readonly ledger: DemandLedger;
}

/** Control logic of a whole fleet in one process, with the real codec. */
class ControlFleet {
  bytes = 0;
  readonly #nodes = new Map<InstanceId, Node>();
  readonly #random = createRandom(1);
  #nowMs = 0;
  readonly #ring: OwnerRing;

  constructor(private readonly size: number) {
    const facts = Array.from({ length: size }, (_, index) => ({
      instance: brand<InstanceId>(`entry-${index}`),
      failureDomain: brand<FailureDomainId>(`domain-${index % 6}`),
      callerAddress: `http://10.0.${index >> 8}.${index & 255}:8080`,
      peerAddress: `10.0.${index >> 8}.${index & 255}:7400`,
    }));
    this.#ring = new OwnerRing(facts.map(({ instance }) => instance));
    const list = facts.map(fact => ({
      ...fact,
      id: fact.instance,
      state: 'live' as const,
    }));
    facts.forEach((fact, index) => {
      const membership = new Membership(
        fact,
        () => this.#nowMs,
        createRandom(index + 1),
      );
      membership.onList(list);
      const limits = new OrganisationLimits();
      limits.configure(ORGANISATION_LIST, 0);
      this.#nodes.set(fact.instance, {
        membership,
        limits,
        ledger: new DemandLedger(),
      });
    });
  }

  /** One second of every instance's control work. */
  period(): void {
    this.#nowMs += PERIOD_MS;
    this.#nodes.forEach(node => {
      this.#offer(node);
      node.membership.tick();
      node.membership.targets().forEach(member => {
        this.#exchange(node, member);
      });
      this.#reportHot(node);
    });
  }

  /** Reports to as many owners as an instance reports to in a period. */
  #reportHot({ membership, limits }: Node): void {
    const demands = limits.closePeriod(this.size, this.#nowMs);
    const owners = new Map<InstanceId, Demand[]>();
    demands.forEach(demand => {
      const owner = this.#ring.ownerOf(demand.organisation);
      if (owner !== undefined) {
        owners.set(owner, [...(owners.get(owner) ?? []), demand]);
      }
    });
    [...owners].slice(0, MAX_OWNERS).forEach(([owner, reported]) => {
      const reporter = membership.self.instance;
      this.#report(reporter, owner, reported, limits);
    });
  }

  #report(
    reporter: InstanceId,
    owner: InstanceId,
    reported: readonly Demand[],
    limits: OrganisationLimits,
  ): void {
    const ledger = assertDefined(this.#nodes.get(owner), 'an owner').ledger;
    const message = { instance: reporter, demands: [...reported] };
    const bytes = DemandReport.encode(message).finish();
    const received = DemandReport.decode(bytes);
    this.bytes += bytes.length;
    const shares = received.demands.flatMap(({ organisation, requests }) => {
      const share = ledger.report(
        brand<OrganisationId>(organisation),
        reporter,
        requests,
        this.size,
        this.#nowMs,
      );
      return share === null ? [] : [{ organisation, share }];
    });
    const reply = ShareReply.encode({ shares }).finish();
    this.bytes += reply.length;
    ShareReply.decode(reply).shares.forEach(({ organisation, share }) => {
      limits.grant(brand<OrganisationId>(organisation), share, this.#nowMs);
    });
  }

  #offer({ limits }: Node): void {
    const requests = Math.round(REQUESTS_PER_SECOND / this.size);
    Array.from({ length: requests }).forEach(() => {
      const pick = Math.floor(this.#random() * ORGANISATIONS);
      const id = assertDefined(ORGANISATION_IDS[pick], 'an organisation');
      limits.charge(id, 1, this.#nowMs);
    });
  }

  #exchange(sender: Node, member: Member): void {
    const receiver = assertDefined(this.#nodes.get(member.id), 'a member');
    receiver.membership.onMessage(this.#transfer(sender));
    sender.membership.onMessage(this.#transfer(receiver));
  }

  #transfer({ membership }: Node): HeartbeatFacts {
    const message = membership.message({
      revision: 1,
      inFlight: 10,
    });
    const bytes = HeartbeatMessage.encode(toHeartbeatMessage(message)).finish();
    this.bytes += bytes.length;
    return fromHeartbeatMessage(HeartbeatMessage.decode(bytes));
  }
}

interface FleetCost {
  readonly micros: number;
  readonly bytes: number;
}

/** Cost of one second of control, per instance. */
function costOf(size: number): FleetCost {
  const fleet = new ControlFleet(size);
  const run = (periods: number): void => {
    Array.from({ length: periods }).forEach(() => {
      fleet.period();
    });
  };
  run(WARM_UP);
  fleet.bytes = 0;
  const startMs = performance.now();
  run(PERIODS);
  const perNode = size * PERIODS;
  return {
    micros: ((performance.now() - startMs) * MICROSECONDS) / perNode,
    // Each message is sent by one instance and received by another.
    bytes: (2 * fleet.bytes) / perNode,
  };
}

/** Processor time and bytes of heartbeats and limit shares over the fleet. */
export async function measureHeartbeats(): Promise<readonly Slope[]> {
  const costs = new Map<number, FleetCost[]>();
  const read = (size: number): FleetCost => {
    const cost = costOf(size);
    costs.set(size, [...(costs.get(size) ?? []), cost]);
    return cost;
  };
  const micros = await fitSlope(
    {
      name: 'heartbeats and shares',
      sizeUnit: 'instances',
      valueUnit: 'µs of processor a second',
    },
    FLEETS,
    REPEATS,
    size => read(size).micros,
  );
  const bytes = await fitSlope(
    {
      name: 'heartbeat payload, in and out',
      sizeUnit: 'instances',
      valueUnit: 'bytes a second',
    },
    FLEETS,
    1,
    size => costs.get(size)?.[0]?.bytes ?? 0,
  );
  return [micros, bytes];
}
