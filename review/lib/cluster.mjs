// A small deployment on loopback: the store, replicas of plain services, and gateways.
import { setTimeout as sleep } from 'node:timers/promises';

import { createGateways, loopbackNetwork } from './Gateways.mjs';
import { Replica } from './Replica.mjs';
import { Requester } from './Requester.mjs';
import { Store } from './Store.mjs';

const HEARTBEAT_MS = 1200;

/** Configuration as the operator writes it. */
export function configuration(version, routes, services) {
  return {
    version,
    routes: routes.map(route => ({
      host: 'a.example',
      timeout_ms: 4000,
      target_latency_ms: 300,
      priority: 2,
      attempts: 1,
      public: true,
      ...route,
    })),
    services: services.map(service => ({
      health_check_path: '/health',
      max_connections: 110,
      protocol: 'h1',
      tls: false,
      ...service,
    })),
    limits: {
      max_header_bytes: 16384,
      max_body_bytes: 4194304,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15000,
    },
  };
}

/** Addresses and time to keep them, as a requester gets them from the directory. */
export async function resolve({ directory }) {
  const query = 'name=a.example&region=r-1&zone=z-1';
  const res = await fetch(
    `http://${directory}/jujubecroft/resolution?${query}`,
  );
  return res.json();
}

/** Waits until the directory of a gateway lists all gateways. */
async function untilListed(gateway, count) {
  const endMs = performance.now() + 20_000;
  while ((await resolve(gateway)).addresses.length < count) {
    if (performance.now() > endMs) {
      throw new Error(`${gateway.options.name} doesn't know the others`);
    }
    await sleep(50);
  }
}

/** Starts everything, and waits until all gateways are ready. */
export async function startCluster({
  gateways: count,
  replicas: places,
  cfg,
  folder,
  atEnd,
  settings,
  settingsOf,
  storeHost,
}) {
  const network = loopbackNetwork();
  const store = new Store();
  atEnd(() => store.stop());
  const address = await store.start(storeHost ?? `${network}.200`, 0);
  const replicas = await Promise.all(
    places.map(async (place, index) => {
      const replica = new Replica(place);
      atEnd(() => replica.stop());
      await replica.start(`${network}.${101 + index}`);
      return replica;
    }),
  );
  let sequence = 0;
  /** When each lifetime of a replica has last reported, by its id. */
  const reported = new Map();
  const beat = () => {
    sequence += 1;
    replicas
      .filter(({ isDown }) => !isDown)
      .forEach(replica => {
        reported.set(replica.id, performance.now());
        store.put('servers', replica.id, replica.entry(sequence));
      });
    reported.forEach((atMs, id) => {
      if (performance.now() - atMs > 3 * HEARTBEAT_MS) {
        reported.delete(id);
        store.put('servers', id, null);
      }
    });
  };
  beat();
  const beats = setInterval(beat, HEARTBEAT_MS);
  atEnd(() => clearInterval(beats));
  store.put('op', 'config', cfg);
  const gateways = createGateways({
    count,
    network,
    store: address,
    folder,
    settings,
    settingsOf,
  });
  gateways.forEach(gateway => {
    atEnd(() => gateway.signal('SIGKILL'));
    gateway.start();
  });
  await Promise.all(gateways.map(gateway => gateway.untilReady()));
  await Promise.all(gateways.map(gateway => untilListed(gateway, count)));
  const requester = new Requester();
  atEnd(() => requester.close());
  return { network, store, replicas, gateways, requester };
}

/** Repeatable random numbers from 0 to 1. */
export function randomFrom(seed) {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4294967296;
  };
}
