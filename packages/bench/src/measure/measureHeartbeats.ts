import type { HeartbeatFacts, Member } from '@jujubecroft/decisions';
import { Membership, OrganisationLimits } from '@jujubecroft/decisions';
import {
  fromHeartbeatMessage,
  toHeartbeatMessage,
} from '@jujubecroft/instance';
import { HeartbeatMessage } from '@jujubecroft/operator';
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
  limits: { requestsPerSecond: 100, tokensPerSecond: 10_000 },
}));

/** Control state of one instance. */
interface Node {
  readonly membership: Membership;
  readonly limits: OrganisationLimits;
}

/** Control logic of a whole fleet in one process, with the real codec. */
class ControlFleet {
  bytes = 0;
  readonly #nodes = new Map<InstanceId, Node>();
  readonly #random = createRandom(1);
  #nowMs = 0;

  constructor(private readonly size: number) {
    const facts = Array.from({ length: size }, (_, index) => ({
      instance: brand<InstanceId>(`entry-${index}`),
      failureDomain: brand<FailureDomainId>(`domain-${index % 6}`),
      callerAddress: `http://10.0.${index >> 8}.${index & 255}:8080`,
      peerAddress: `10.0.${index >> 8}.${index & 255}:7400`,
    }));
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
      this.#nodes.set(fact.instance, { membership, limits });
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
      node.limits.takeDemand();
      node.limits.rebalance(
        node.membership.serving.map(({ demands }) => demands),
        this.#nowMs,
      );
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

  #transfer({ membership, limits }: Node): HeartbeatFacts {
    const message = membership.message({
      revision: 1,
      inFlight: 10,
      demands: limits.demands,
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
