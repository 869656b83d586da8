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

const FLEET_SIZES = [46, 93, 185, 370];
const ORGANISATION_COUNT = 510;
const REQUESTS_PER_SECOND = 4100;
const MAX_OWNERS_PER_PERIOD = 4;
const MEASURED_PERIODS = 5;
const WARM_UP_PERIODS = 3;
const PERIOD_MS = 1000;
const REPEATS = 3;
const MICROS_PER_MS = 1000;

const ORGANISATION_IDS = Array.from(
  { length: ORGANISATION_COUNT },
  (_, index) => brand<OrganisationId>(`organisation-${index}`),
);

const ORGANISATION_LIST: readonly Organisation[] = ORGANISATION_IDS.map(id => ({
  kind: 'organisation',
  id,
  keySha256: '0'.repeat(64),
  weight: 1,
  // About the rate at which each organisation sends, so that all use enough of their limit to be reported.
  limits: { requestsPerSecond: 8, tokensPerSecond: 1e9 },
}));

/** Control-plane state of one instance. */
interface InstanceState {
  readonly membership: Membership;
  readonly limits: OrganisationLimits;
  readonly ledger: DemandLedger;
}

/** Control-plane logic of a whole fleet in one process, with the real wire encoding. */
class ControlPlaneSimulation {
  bytesSent = 0;
  readonly #instances = new Map<InstanceId, InstanceState>();
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
      this.#instances.set(fact.instance, {
        membership,
        limits,
        ledger: new DemandLedger(),
      });
    });
  }

  /** Runs one period, a second, of control-plane work for every instance. */
  runPeriod(): void {
    this.#nowMs += PERIOD_MS;
    this.#instances.forEach(instance => {
      this.#chargeRequests(instance);
      instance.membership.tick();
      instance.membership.targets().forEach(member => {
        this.#exchange(instance, member);
      });
      this.#reportDemand(instance);
    });
  }

  /** Reports demand to owners, up to the number that an instance reports to in a period. */
  #reportDemand({ membership, limits }: InstanceState): void {
    const demands = limits.closePeriod(this.size, this.#nowMs);
    const owners = new Map<InstanceId, Demand[]>();
    demands.forEach(demand => {
      const owner = this.#ring.ownerOf(demand.organisation);
      if (owner !== undefined) {
        owners.set(owner, [...(owners.get(owner) ?? []), demand]);
      }
    });
    [...owners].slice(0, MAX_OWNERS_PER_PERIOD).forEach(([owner, reported]) => {
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
    const ledger = assertDefined(
      this.#instances.get(owner),
      'the owner is an instance of the fleet',
    ).ledger;
    const message = { instance: reporter, demands: [...reported] };
    const bytes = DemandReport.encode(message).finish();
    const received = DemandReport.decode(bytes);
    this.bytesSent += bytes.length;
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
    this.bytesSent += reply.length;
    ShareReply.decode(reply).shares.forEach(({ organisation, share }) => {
      limits.grant(brand<OrganisationId>(organisation), share, this.#nowMs);
    });
  }

  #chargeRequests({ limits }: InstanceState): void {
    const requests = Math.round(REQUESTS_PER_SECOND / this.size);
    Array.from({ length: requests }).forEach(() => {
      const index = Math.floor(this.#random() * ORGANISATION_COUNT);
      const id = assertDefined(
        ORGANISATION_IDS[index],
        'the index is below the number of organisations',
      );
      limits.charge(id, 1, this.#nowMs);
    });
  }

  #exchange(sender: InstanceState, member: Member): void {
    const receiver = assertDefined(
      this.#instances.get(member.id),
      'the member is an instance of the fleet',
    );
    receiver.membership.onMessage(this.#transfer(sender));
    sender.membership.onMessage(this.#transfer(receiver));
  }

  #transfer({ membership }: InstanceState): HeartbeatFacts {
    const message = membership.message({
      revision: 1,
      inFlight: 10,
    });
    const bytes = HeartbeatMessage.encode(toHeartbeatMessage(message)).finish();
    this.bytesSent += bytes.length;
    return fromHeartbeatMessage(HeartbeatMessage.decode(bytes));
  }
}

interface FleetCost {
  readonly micros: number;
  readonly bytes: number;
}

/** Control-plane cost per instance and second. */
function costOf(size: number): FleetCost {
  const fleet = new ControlPlaneSimulation(size);
  const run = (periods: number): void => {
    Array.from({ length: periods }).forEach(() => {
      fleet.runPeriod();
    });
  };
  run(WARM_UP_PERIODS);
  fleet.bytesSent = 0;
  const startMs = performance.now();
  run(MEASURED_PERIODS);
  const instanceSeconds = size * MEASURED_PERIODS;
  return {
    micros: ((performance.now() - startMs) * MICROS_PER_MS) / instanceSeconds,
    // Each message is sent by one instance and received by another.
    bytes: (2 * fleet.bytesSent) / instanceSeconds,
  };
}

/** Measures processor time and payload of heartbeats and limit shares, by fleet size. */
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
    FLEET_SIZES,
    REPEATS,
    size => read(size).micros,
  );
  const bytes = await fitSlope(
    {
      name: 'heartbeat payload, in and out',
      sizeUnit: 'instances',
      valueUnit: 'bytes a second',
    },
    FLEET_SIZES,
    1,
    size => costs.get(size)?.[0]?.bytes ?? 0,
  );
  return [micros, bytes];
}
