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

/** Records the collector to which each claim is sent, without a connection. */
class RecordingPeers extends PeerConnections {
  readonly recipients: string[] = [];

  constructor() {
    super(credentials.createInsecure());
  }

  override recordClaim(address: string): Promise<undefined> {
    this.recipients.push(address);
    return Promise.resolve(undefined);
  }
}

function createCollectors(self: number, size: number) {
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
  const peers = new RecordingPeers();
  const collectors = new ClaimCollectors(membership, peers, () => batcher);
  return { collectors, peers, table };
}

const claimWrite = (key: string): TableWrite => ({
  key,
  value: {},
  ifVersion: 0,
});

describe('ClaimCollectors', ({ it }) => {
  it('writes claims directly in a small fleet', async t => {
    const { collectors, peers, table } = createCollectors(0, 8);
    t.is(await collectors.write(claimWrite('claim/a/1')), undefined);
    t.not(table.get('claim/a/1'), null);
    t.deepEqual(peers.recipients, []);
    t.is(collectors.batchPauseMs(), 40);
  });

  it('sends a key to the same collector from every instance of a large fleet', async t => {
    const keys = Array.from({ length: 40 }, (_, index) => `claim/a/${index}`);
    const routes = await Promise.all(
      [0, 100, 369].map(async self => {
        const { collectors, peers, table } = createCollectors(self, 370);
        for (const key of keys) {
          await collectors.write(claimWrite(key));
          if (table.get(key)) {
            peers.recipients.push(`entry-${self}:7400`);
          }
        }
        return peers.recipients;
      }),
    );
    t.deepEqual(routes[0], routes[1]);
    t.deepEqual(routes[0], routes[2]);
    t.true(new Set(routes[0]).size > 8);
  });

  it('keeps the claim transactions of the whole fleet within their limit per second', t => {
    [1, 8, 16, 64, 370].forEach(size => {
      const { collectors } = createCollectors(0, size);
      const perSecond = (1000 / collectors.batchPauseMs()) * Math.min(16, size);
      t.true(perSecond <= 200.001, `${size}: ${perSecond}`);
    });
  });
});
