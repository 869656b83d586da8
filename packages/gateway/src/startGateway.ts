import type { Server } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import type { EventLog } from '@jujubecroft/events';

import { CrashWatch } from './backends/CrashWatch.js';
import { LimitWatch } from './backends/LimitWatch.js';
import { VerdictWatch } from './backends/VerdictWatch.js';
import { createContext, HOUSEKEEPING_MS } from './createContext.js';
import type { Front } from './front/createFront.js';
import { DutyLoop } from './duties/DutyLoop.js';
import { createFront } from './front/createFront.js';
import type { HeldConnections } from './front/holdConnections.js';
import { RequestsUnderWay } from './front/RequestsUnderWay.js';
import type { GatewayContext } from './GatewayContext.js';
import { isReady } from './GatewayContext.js';
import type { GatewaySettings, ListenAddress } from './GatewaySettings.js';
import type { CallerDialect } from './ports/CallerDialect.js';
import type { DiscoveryStore } from './ports/DiscoveryStore.js';
import type { DutyPorts } from './ports/DutyPorts.js';
import type { SideRoutes } from './side/createSideApp.js';
import { createSideApp } from './side/createSideApp.js';
import { listenRaw } from './side/listenRaw.js';
import { createPeerLink } from './state/createPeerLink.js';
import { createSync } from './state/createSync.js';
import { RUNTIME_TIMERS } from './util/runtimeTimers.js';
import { createWakeUpWatch } from './wakeUpWatch.js';

/** How a deployment's surroundings are spoken to. */
export interface GatewayPorts {
  readonly dialect: CallerDialect;
  readonly store: DiscoveryStore;
  /** Adds readiness and addresses, as callers expect them. */
  readonly sideRoutes: SideRoutes;
  /** Absent where there are no duties that one instance does for all. */
  readonly duties?: DutyPorts | undefined;
}

/** An instance of the gateway that was started. */
export interface RunningGateway {
  readonly context: GatewayContext;
  /** Takes no new callers, finishes what is under way, then stops. */
  readonly stop: () => Promise<void>;
  /** Drops everything at once. */
  readonly kill: () => Promise<void>;
}

/** Part of the grace period in which callers learn to stay away. */
const SPREAD_SHARE = 0.55;
/** Part of the grace period after which callers should know of the stop. */
const STRICT_SHARE = 0.3;
/** Part of the grace period after which what still runs is cut. */
const LAST_SHARE = 0.95;
const IDLE_CHECK_MS = 50;

async function listenFront(
  { app, server }: Front,
  { host, port }: ListenAddress,
  held: HeldConnections | null,
): Promise<void> {
  if (!held) {
    await app.listen({ host, port });
    return;
  }
  await app.ready();
  await held.handTo(server);
}

async function listenSide(
  context: GatewayContext,
  ports: GatewayPorts,
): Promise<readonly Server[]> {
  const { readiness, directory, metrics } = context.settings;
  const app = await createSideApp(context, ports.sideRoutes);
  const addresses = [readiness, directory, metrics].flatMap(
    address => address ?? [],
  );
  return Promise.all(
    addresses.map(address =>
      listenRaw((req, res) => {
        app.routing(req, res);
      }, address),
    ),
  );
}

/**
 * Meets other instances by the notes that they left in the store.
 *
 * An instance that starts again finds its own there, and writes none: two hundred
 * that come back from a loss of power would press a store that all of them need.
 */
async function meetThroughStore(
  context: GatewayContext,
  store: DiscoveryStore,
): Promise<void> {
  const { membership, log, settings } = context;
  const { self } = membership;
  try {
    const listed = await store.listInstances();
    membership.onList(listed);
    const isAnnounced = listed.some(
      ({ id, peerAddress }) =>
        id === self.instance && peerAddress === self.peerAddress,
    );
    if (!isAnnounced) {
      await store.announce({
        id: self.instance,
        failureDomain: self.failureDomain,
        callerAddress: '',
        peerAddress: self.peerAddress,
        state: 'live',
      });
    }
  } catch (err) {
    // Seeds and heartbeats bring the instances together without the store.
    const error = err instanceof Error ? err.message : String(err);
    log.write('platformDown', {
      call: 'instances',
      error,
      seeds: settings.seeds.length,
    });
  }
}

/**
 * Starts an instance of the gateway; it takes callers once it knows what for.
 *
 * @param settings - checked settings
 * @param ports - how the surroundings are spoken to
 * @param log - where events go
 * @param held - connections of callers that wait for it; null for none
 * @returns the running instance
 */
export async function startGateway(
  settings: GatewaySettings,
  ports: GatewayPorts,
  log: EventLog,
  held: HeldConnections | null = null,
): Promise<RunningGateway> {
  const clock = (): number => performance.now();
  const context = createContext(settings, {
    dialect: ports.dialect,
    log,
    clock,
    timers: RUNTIME_TIMERS,
    startedMs: Date.now(),
  });
  const underWay = new RequestsUnderWay(context);
  const front = createFront(context, underWay);
  const { view, reader, peers } = createSync(
    context,
    { store: ports.store, link: createPeerLink(settings.peers) },
    front.limit,
  );
  const { duties: dutyBoard } = context.router.board;
  const duties =
    dutyBoard && ports.duties
      ? new DutyLoop(context, dutyBoard, ports.duties, peers)
      : null;
  const verdicts = new VerdictWatch(context.router.board, log);
  const crashes = new CrashWatch(context.router.board, log);
  const limits = new LimitWatch(context.router.board, log);
  const stoodStillMs = createWakeUpWatch(clock);
  let wasReady = false;

  const keepHouse = (): void => {
    const { replicas } = context.router.board;
    context.delays.note();
    view.onReplicas(replicas.tick(), 'lapse');
    verdicts.look();
    crashes.look();
    limits.look();
    const stillMs = stoodStillMs();
    if (stillMs > 0) {
      log.write('wokeUp', { stoodStillMs: Math.round(stillMs) });
      context.router.board.storeClock.forget();
      void reader.refresh();
      peers.askAround();
    }
    if (!wasReady && isReady(context)) {
      wasReady = true;
      log.write('gatewayReady', {
        configuration: context.router.board.table?.cfg.version,
        replicas: replicas.replicas.length,
      });
    }
  };

  // Asked for first, configuration and replicas are there when the rest is up.
  reader.start();
  await listenFront(front, settings.callers, held);
  await peers.start();
  const sides = await listenSide(context, ports);
  void meetThroughStore(context, ports.store);
  duties?.start();
  const housekeeping = setInterval(keepHouse, HOUSEKEEPING_MS);
  log.write('instanceStarted', { settings });

  const close = async (): Promise<void> => {
    clearInterval(housekeeping);
    duties?.stop();
    reader.stop();
    await peers.stop();
    underWay.stop();
    sides.forEach(side => {
      side.close();
      side.closeAllConnections();
    });
    front.server.closeAllConnections();
    await front.app.close();
    context.connections.destroy();
    ports.store.close();
  };

  const stop = async (): Promise<void> => {
    const lastMs = clock() + LAST_SHARE * settings.graceMs;
    const strictFromMs = clock() + STRICT_SHARE * settings.graceMs;
    context.leaving = true;
    context.stopPlan = { strictFromMs, untilMs: lastMs };
    context.membership.leave();
    log.write('instanceStopping', { inFlight: underWay.count });
    peers.spread();
    // Callers keep addresses for a while, and go on using open connections
    // until an answer closes them.
    await sleep(SPREAD_SHARE * settings.graceMs);
    while (underWay.count > 0 && clock() < lastMs) {
      await sleep(IDLE_CHECK_MS);
    }
    log.write('instanceStopped', { cut: underWay.count });
    await close();
  };

  return { context, stop, kill: close };
}
