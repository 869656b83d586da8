import { describe } from '@jujubecroft/testing';
import type {
  BackendServerId,
  FailureDomainId,
  ServiceId,
} from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import type { ReplicaConnectors } from '../../src/backends/BackendConnections.js';
import { BackendConnections } from '../../src/backends/BackendConnections.js';

const REPLICA = {
  id: brand<BackendServerId>('s-1'),
  service: brand<ServiceId>('stock'),
  address: '127.0.0.1:9',
  failureDomain: brand<FailureDomainId>('d-1'),
  slots: 4,
  leaving: false,
  coldMs: 0,
  softwareVersion: null,
  bornMs: 1,
};

const CONNECTORS: ReplicaConnectors = {
  replicas: {
    connect: () => Promise.reject(new Error('not used here')),
    isPathLost: () => false,
  },
  relay: { openCount: 0, isUsable: () => true, relayOf: () => null },
};

describe('BackendConnections', ({ it }) => {
  it('keeps one pool for each run of a replica', t => {
    const connections = new BackendConnections(CONNECTORS);
    const pool = connections.poolFor(REPLICA, 2);
    t.is(connections.poolFor(REPLICA, 2), pool);
    t.not(connections.poolFor({ ...REPLICA, bornMs: 2 }, 2), pool);
  });

  // Guards against requests that wait for connections they may open: when 200
  // instances start, the share of each is small, and it grows when most of them
  // fail. A pool with its first limit would never use the larger share.
  it('applies a changed connection limit to an existing pool', t => {
    const connections = new BackendConnections(CONNECTORS);
    const { agent } = connections.poolFor(REPLICA, 2);
    t.is(agent.maxSockets, 2);
    connections.poolFor(REPLICA, 7);
    t.is(agent.maxSockets, 7);
  });
});
