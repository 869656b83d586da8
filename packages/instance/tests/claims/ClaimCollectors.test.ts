import { credentials } from '@grpc/grpc-js';
import { describe } from '@jujubecroft/testing';
import { Membership } from '@jujubecroft/decisions';
import type { TableWrite } from '@jujubecroft/stores';
import { Table } from '@jujubecroft/stand-ins';
import type { FailureDomainId, InstanceId } from '@jujubecroft/types';
import { brand, createRandom } from '@jujubecroft/types';

import { ClaimCollectors, WriteBatcher } from '../../src/index.js';
import { PeerConnections } from '../../src/state/PeerConnections.js';

const factsOf = (index: number) => ({
  instance: brand<InstanceId>(`entry-${index}`),
  failureDomain: brand<FailureDomainId>('domain-a'),
  callerAddress: `http://entry-${index}`,
  peerAddress: `entry-${index}:7400`,
});

/** Hears which collector a claim is sent to, without a connection. */
class RecordedPeers extends PeerConnections {
  readonly sentTo: string[] = [];

  constructor() {
    super(credentials.createInsecure());
  }

  override recordClaim(address: string): Promise<undefined> {
    this.sentTo.push(address);
    return Promise.resolve(undefined);
  }
}

function collectorsAt(self: number, size: number) {
  const membership = new Membership(factsOf(self), () => 0, createRandom(1));
  membership.onList(
    Array.from({ length: size }, (_, index) => ({
      ...factsOf(index),
      id: factsOf(index).instance,
      state: 'live' as const,
    })),
  );
  const table = new Table();
  const batcher = new WriteBatcher(
    {
      get: key => Promise.resolve(table.get(key)),
      scan: options => Promise.resolve(table.scan(options)),
      transact: writes => Promise.resolve(table.transact(writes)),
    },
    () => 0,
  );
  const peers = new RecordedPeers();
  const collectors = new ClaimCollectors(membership, peers, () => batcher);
  return { collectors, peers, table };
}

const claim = (key: string): TableWrite => ({ key, value: {}, ifVersion: 0 });

describe('ClaimCollectors', ({ it }) => {
  it('writes for itself in a small fleet', async t => {
    const { collectors, peers, table } = collectorsAt(0, 8);
    t.is(await collectors.write(claim('claim/a/1')), undefined);
    t.not(table.get('claim/a/1'), null);
    t.deepEqual(peers.sentTo, []);
    t.is(collectors.paceMs(), 40);
  });

  it('sends a key to the same collector from every instance', async t => {
    const keys = Array.from({ length: 40 }, (_, index) => `claim/a/${index}`);
    const routes = await Promise.all(
      [0, 100, 369].map(async self => {
        const { collectors, peers, table } = collectorsAt(self, 370);
        for (const key of keys) {
          await collectors.write(claim(key));
          if (table.get(key)) {
            peers.sentTo.push(`entry-${self}:7400`);
          }
        }
        return peers.sentTo;
      }),
    );
    t.deepEqual(routes[0], routes[1]);
    t.deepEqual(routes[0], routes[2]);
    t.true(new Set(routes[0]).size > 8);
  });

  it('keeps the writes of the whole fleet within the budget of the table', t => {
    [1, 8, 16, 64, 370].forEach(size => {
      const { collectors } = collectorsAt(0, size);
      const perSecond = (1000 / collectors.paceMs()) * Math.min(16, size);
      t.true(perSecond <= 200.001, `${size}: ${perSecond}`);
    });
  });
});
