import { setTimeout as sleep } from 'node:timers/promises';
import type { ListedMember } from '@jujubecroft/decisions';
import { SILENT_LOG } from '@jujubecroft/events';
import { describe } from '@jujubecroft/testing';
import type { FailureDomainId, InstanceId } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import type { DiscoveryStore, GatewaySettings } from '../src/index.js';
import { startGateway } from '../src/index.js';

const HOST = '127.0.0.1';
const BASE_PORT = 22_000 + 10 * (process.pid % 300);
const SETTLED_MS = 80;
const INSTANCE = brand<InstanceId>('i-1');
const DOMAIN = brand<FailureDomainId>('d-1');

function settingsAt(port: number): GatewaySettings {
  return {
    instance: INSTANCE,
    failureDomain: DOMAIN,
    callers: { host: HOST, port },
    readiness: null,
    directory: null,
    peers: { host: HOST, port: port + 1 },
    peerAddress: `${HOST}:${port + 1}`,
    metrics: null,
    seeds: [],
    duties: null,
    retryBudget: { ratio: 0.2, extra: 10, windowMs: 10_000 },
    freshWithinMs: 2000,
    graceMs: 1000,
    maxAddressAgeMs: 5000,
    logLevel: 'error',
  };
}

const readNow = () => ({ version: 1, storeMs: performance.now() });

/** Counts the notes that an instance leaves where these are listed. */
async function notesWith(
  port: number,
  listed: readonly ListedMember[],
): Promise<number> {
  let notes = 0;
  const store: DiscoveryStore = {
    readConfiguration: () =>
      Promise.resolve({ configuration: null, ...readNow() }),
    watchConfiguration: async () => {
      await sleep(SETTLED_MS);
      return { configuration: null, ...readNow() };
    },
    readReplicas: () => Promise.resolve({ rows: [], ...readNow() }),
    changedReplicas: () => Promise.resolve({ rows: [], ...readNow() }),
    announce: () => {
      notes += 1;
      return Promise.resolve();
    },
    listInstances: () => Promise.resolve(listed),
    close: () => undefined,
  };
  const running = await startGateway(
    settingsAt(port),
    { dialect: {} as never, store, sideRoutes: () => undefined },
    SILENT_LOG,
  );
  await sleep(SETTLED_MS);
  await running.kill();
  return notes;
}

const note = (peerAddress: string): ListedMember => ({
  id: INSTANCE,
  failureDomain: DOMAIN,
  callerAddress: '',
  peerAddress,
  state: 'live',
});

describe('startGateway', ({ itAlone }) => {
  // Two hundred instances come back from a loss of power at once. Each wrote a note
  // that stood in the store already, before it could serve a caller.
  itAlone('leaves no note where its own stands', async t => {
    t.is(await notesWith(BASE_PORT, [note(`${HOST}:${BASE_PORT + 1}`)]), 0);
  });

  itAlone(
    'leaves a note where there is none, or one of another address',
    async t => {
      t.is(await notesWith(BASE_PORT + 3, []), 1);
      t.is(await notesWith(BASE_PORT + 6, [note('10.0.0.9:1')]), 1);
    },
  );
});
