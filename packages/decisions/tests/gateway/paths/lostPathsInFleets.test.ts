import type { FailureDomainId, InstanceId } from '@jujubecroft/types';
import { brand, createRandom } from '@jujubecroft/types';
import { describe } from '@jujubecroft/testing';

import type { Member } from '../../../src/index.js';
import { RelayPeers } from '../../../src/gateway/index.js';

const FIRST_DOMAIN = brand<FailureDomainId>('d-1');
const DOMAINS = [
  FIRST_DOMAIN,
  brand<FailureDomainId>('d-2'),
  brand<FailureDomainId>('d-3'),
];
/** Number of instances that one connection is tried through. */
const MAX_PEERS = 4;
const CONNECTIONS_PER_INSTANCE = 24;

interface VirtualInstance {
  readonly member: Member;
  readonly isCut: boolean;
  readonly relays: RelayPeers;
}

/** Which instances have no path to replicas. */
type Cut = (index: number, domain: FailureDomainId) => boolean;

function createInstances(count: number, cut: Cut): readonly VirtualInstance[] {
  const random = createRandom(count);
  return Array.from({ length: count }, (_, index) => {
    const domain = DOMAINS[index % DOMAINS.length] ?? FIRST_DOMAIN;
    const member: Member = {
      id: brand<InstanceId>(`i-${index}`),
      failureDomain: domain,
      callerAddress: `caller-${index}`,
      peerAddress: `peer-${index}`,
      incarnation: 1,
      state: 'live',
      sinceMs: 0,
      lastHeardMs: 0,
      revision: 1,
      inFlight: 0,
      listed: true,
    };
    return {
      member,
      isCut: cut(index, domain),
      relays: new RelayPeers(() => 0, random),
    };
  });
}

/**
 * Opens connections from all instances that are cut off.
 *
 * @returns how many connections were opened, tried in vain, and carried by each
 *   instance
 */
function openAll(instances: readonly VirtualInstance[]): {
  opened: number;
  failed: number;
  detours: number;
  carried: ReadonlyMap<InstanceId, number>;
} {
  const carried = new Map<InstanceId, number>();
  let opened = 0;
  let failed = 0;
  let detours = 0;
  const cutOff = instances.filter(({ isCut }) => isCut);
  for (let round = 0; round < CONNECTIONS_PER_INSTANCE; round += 1) {
    const replicaDomain = DOMAINS[round % DOMAINS.length] ?? FIRST_DOMAIN;
    cutOff.forEach(({ member: self, relays }) => {
      const others = instances.filter(({ member }) => member.id !== self.id);
      const ordered = relays.order(
        others.map(({ member }) => member),
        { ownDomain: self.failureDomain, replicaDomain },
      );
      for (const { id, failureDomain } of ordered.slice(0, MAX_PEERS)) {
        const peer = others.find(({ member }) => member.id === id);
        if (peer?.isCut === false) {
          relays.onOpened(id);
          opened += 1;
          carried.set(id, (carried.get(id) ?? 0) + 1);
          const isDetour = ![self.failureDomain, replicaDomain].includes(
            failureDomain,
          );
          // Within a domain that is cut off, every way is a detour.
          detours += isDetour && replicaDomain !== self.failureDomain ? 1 : 0;
          return;
        }
        relays.onFailed(id);
        failed += 1;
      }
    });
  }
  return { opened, failed, detours, carried };
}

const CUTS: readonly [string, Cut][] = [
  ['half of all instances', index => index % 2 === 0],
  ['half of one failure domain', (i, d) => d === 'd-1' && i % 2 === 0],
  ['a whole failure domain', (_, domain) => domain === 'd-1'],
];

describe('connections through other instances', ({ it }) => {
  [6, 60].forEach(count => {
    CUTS.forEach(([which, cut]) => {
      it(`are opened and spread when ${which} of ${count} lost their paths`, t => {
        const instances = createInstances(count, cut);
        const cutOff = instances.filter(({ isCut }) => isCut).length;
        const { opened, failed, carried } = openAll(instances);
        const wanted = cutOff * CONNECTIONS_PER_INSTANCE;
        // Each instance may meet others that are cut off in its first attempts only.
        t.true(opened >= wanted - cutOff, `${opened} of ${wanted}`);
        t.true(failed <= cutOff * (cutOff - 1));
        const most = Math.max(...carried.values());
        const mean = opened / (count - cutOff);
        t.true(most <= 3 * mean + 4, `${most} against ${mean}`);
      });
    });
  });

  it('avoid a detour through a third failure domain', t => {
    const instances = createInstances(60, (_, domain) => domain === 'd-1');
    const { opened, detours } = openAll(instances);
    t.true(detours <= opened / 4, `${detours} of ${opened}`);
  });

  it('go through instances that report no lost paths', t => {
    const members = createInstances(2, () => false).map(({ member }) => member);
    const relays = new RelayPeers(
      () => 0,
      () => 0.5,
    );
    const firstOf = (): string | undefined =>
      relays.order(members, {
        ownDomain: FIRST_DOMAIN,
        replicaDomain: FIRST_DOMAIN,
      })[0]?.id;
    relays.onReport(brand<InstanceId>('i-0'), 3);
    t.is(firstOf(), 'i-1');
    relays.onReport(brand<InstanceId>('i-0'), 0);
    relays.onFailed(brand<InstanceId>('i-1'));
    t.is(firstOf(), 'i-0');
  });
});
