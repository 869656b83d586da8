import type { Server } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import type { EventLog } from '@jujubecroft/events';
import { limitClients } from '@jujubecroft/http-server';

import { BarredRequestLogger } from './backends/BarredRequestLogger.js';
import { PromptPartLogger } from './backends/PromptPartLogger.js';
import { ReplicaLimitLogger } from './backends/ReplicaLimitLogger.js';
import { AvoidanceLogger } from './backends/AvoidanceLogger.js';
import { createContext, HOUSEKEEPING_INTERVAL_MS } from './createContext.js';
import type { CallerServer } from './front/createCallerServer.js';
import { DutyLoop } from './duties/DutyLoop.js';
import { createCallerServer } from './front/createCallerServer.js';
import { createClientLimitLogger } from './front/createClientLimitLogger.js';
import type { SocketFactory } from './backends/openSocket.js';
import type { EarlyConnections } from './front/acceptEarlyConnections.js';
import { InFlightRequests } from './front/InFlightRequests.js';
import type { GatewayContext } from './GatewayContext.js';
import { isReady } from './GatewayContext.js';
import type { GatewaySettings, ListenAddress } from './GatewaySettings.js';
import type { CallerDialect } from './ports/CallerDialect.js';
import type { DiscoveryStore } from './ports/DiscoveryStore.js';
import type { DutyPorts } from './ports/DutyPorts.js';
import { reportLenientParser } from './reportLenientParser.js';
import type { SideRoutes } from './side/createSideApp.js';
import { TunnelServer } from './relay/TunnelServer.js';
import { createSideApp } from './side/createSideApp.js';
import { startHttpServer } from './side/startHttpServer.js';
import { createPeerLink } from './state/createPeerLink.js';
import { createViewSync } from './state/createViewSync.js';
import { RUNTIME_TIMERS } from './util/runtimeTimers.js';
import { createSuspensionDetector } from './wakeUpWatch.js';

/** Ports through which an instance uses the systems around it. */
export interface GatewayPorts {
  readonly dialect: CallerDialect;
  readonly store: DiscoveryStore;
  /**
   * Adds the routes for readiness and instance addresses in the format that
   * callers expect.
   */
  readonly sideRoutes: SideRoutes;
  /** Omitted if no duties are performed by one instance for all. */
  readonly duties?: DutyPorts | undefined;
  /** Opens connections to backend servers; `connect` of `node:net` if omitted. */
  readonly connect?: SocketFactory | undefined;
}

/** A started instance of the gateway. */
export interface RunningGateway {
  readonly context: GatewayContext;
  /**
   * Stops gracefully: announces the stop, finishes requests in progress, then
   * closes everything.
   */
  readonly stop: () => Promise<void>;
  /** Closes everything at once. */
  readonly kill: () => Promise<void>;
}

/**
 * Share of the grace period during which the instance keeps serving while
 * callers learn to avoid it.
 */
const ANNOUNCE_SHARE = 0.55;
/**
 * Share of the grace period after which callers should know of the stop and
 * requests are admitted more strictly.
 */
const STRICT_SHARE = 0.3;
/** Share of the grace period by which requests must have ended. */
const CUT_SHARE = 0.95;
/** Share of the grace period after which unfinished requests are aborted. */
const CLOSE_SHARE = 0.97;
const IDLE_CHECK_INTERVAL_MS = 50;
/** Interval of the checks whether the last requests have been refused. */
const REFUSAL_CHECK_INTERVAL_MS = 5;
/**
 * Delay of the event loop above which failed calls are no evidence of an outage, in
 * milliseconds.
 */
const STALL_MS = 300;

async function listenForCallers(
  { app, server }: CallerServer,
  { host, port }: ListenAddress,
  held: EarlyConnections | null,
): Promise<void> {
  if (!held) {
    await app.listen({ host, port });
    return;
  }
  await app.ready();
  await held.handOver(server);
}

async function startSideServers(
  context: GatewayContext,
  ports: GatewayPorts,
): Promise<readonly Server[]> {
  const { settings, resources } = context;
  const app = await createSideApp(context, ports.sideRoutes);
  const servers = [
    [settings.readiness, resources.side],
    [settings.directory, resources.directory],
    [settings.metrics, resources.side],
  ] as const;
  return Promise.all(
    servers.flatMap(([address, limits]) =>
      address
        ? startHttpServer(
            (req, res) => {
              app.routing(req, res);
            },
            address,
            limits,
            createClientLimitLogger(context, 'side'),
          )
        : [],
    ),
  );
}

/**
 * Finds other instances through their entries in the store.
 *
 * An instance that restarts finds its own entry there and writes none.
 * Otherwise, 200 instances that restart together after a power failure would
 * overload the store when all of them need it.
 */
async function joinThroughStore(
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
    // Without the store, instances still find each other through seeds and
    // heartbeats.
    const error = err instanceof Error ? err.message : String(err);
    log.write('platformDown', {
      call: 'instances',
      error,
      seeds: settings.seeds.length,
    });
  }
}

/**
 * Starts an instance of the gateway; it is ready once configuration and
 * replicas are known.
 *
 * @param settings - validated settings
 * @param ports - ports to the systems around the instance
 * @param log - receives the events
 * @param held - connections of callers that were accepted early; null for none
 * @returns the running instance
 */
export async function startGateway(
  settings: GatewaySettings,
  ports: GatewayPorts,
  log: EventLog,
  held: EarlyConnections | null = null,
): Promise<RunningGateway> {
  const clock = (): number => performance.now();
  const context = createContext(settings, {
    dialect: ports.dialect,
    log,
    clock,
    timers: RUNTIME_TIMERS,
    connect: ports.connect,
    startedMs: Date.now(),
  });
  const inFlight = new InFlightRequests(context);
  const callerServer = createCallerServer(context, inFlight);
  const tunnels = new TunnelServer(context, ports.connect);
  const { view, reader, peers } = createViewSync(
    context,
    {
      store: ports.store,
      link: createPeerLink(settings.peers, tunnels.handle, server => {
        limitClients(
          server,
          context.resources.peers,
          createClientLimitLogger(context, 'peers'),
        );
      }),
    },
    callerServer.limit,
  );
  const { duties: dutyBoard } = context.router.board;
  const duties =
    dutyBoard && ports.duties
      ? new DutyLoop(context, dutyBoard, ports.duties, peers)
      : null;
  const avoidanceLogger = new AvoidanceLogger(context.router.board, log);
  const barredRequestLogger = new BarredRequestLogger(
    context.router.board,
    log,
  );
  const promptPartLogger = new PromptPartLogger(context.router.board, log);
  const limitLogger = new ReplicaLimitLogger(context.router.board, log);
  const takeSuspendedMs = createSuspensionDetector(clock);
  let wasReady = false;

  const runHousekeeping = (): void => {
    const { replicas } = context.router.board;
    if (context.delays.note() > STALL_MS) {
      context.router.board.outage.onStall();
    }
    view.applyReplicaChanges(replicas.tick(), 'lapse');
    avoidanceLogger.logChanges();
    barredRequestLogger.logChanges();
    promptPartLogger.logChanges();
    limitLogger.logChanges();
    context.streams.checkStored();
    context.connections.closeUnusable();
    context.replicaConnector.probeLostPaths();
    const suspendedMs = takeSuspendedMs();
    if (suspendedMs > 0) {
      log.write('wokeUp', { stoodStillMs: Math.round(suspendedMs) });
      context.router.board.storeClock.forget();
      void reader.refresh();
      peers.probeRandomMembers();
    }
    if (!wasReady && isReady(context)) {
      wasReady = true;
      log.write('gatewayReady', {
        configuration: context.router.board.table?.cfg.version,
        replicas: replicas.replicas.length,
      });
    }
  };

  // Configuration and replicas are requested first, so that they arrive while
  // the servers start.
  reader.start();
  await listenForCallers(callerServer, settings.callers, held);
  await peers.start();
  const sideServers = await startSideServers(context, ports);
  void joinThroughStore(context, ports.store);
  duties?.start();
  const housekeeping = setInterval(runHousekeeping, HOUSEKEEPING_INTERVAL_MS);
  log.write('instanceStarted', { settings });
  void reportLenientParser(context);

  const close = async (): Promise<void> => {
    // At once after the last look at the unfinished requests, since more could be read
    // while other parts are closed.
    inFlight.stop();
    context.responseWatch.onStop();
    inFlight.cutResponses();
    callerServer.server.closeAllConnections();
    clearInterval(housekeeping);
    duties?.stop();
    reader.stop();
    // The server for other instances closes only once its tunnels have ended.
    tunnels.close();
    await peers.stop();
    sideServers.forEach(sideServer => {
      sideServer.close();
      sideServer.closeAllConnections();
    });
    await callerServer.app.close();
    context.connections.destroy();
    ports.store.close();
  };

  const stop = async (): Promise<void> => {
    const { graceMs } = context.settings;
    const cutMs = clock() + CUT_SHARE * graceMs;
    const closeMs = clock() + CLOSE_SHARE * graceMs;
    const strictFromMs = clock() + STRICT_SHARE * graceMs;
    context.leaving = true;
    context.stopPlan = { strictFromMs, untilMs: cutMs };
    context.membership.leave();
    log.write('instanceStopping', { inFlight: inFlight.count });
    peers.spread();
    // Callers cache addresses for a while and keep using open connections until
    // a response closes them.
    await sleep(ANNOUNCE_SHARE * graceMs);
    while (inFlight.count + tunnels.count > 0 && clock() < cutMs) {
      await sleep(IDLE_CHECK_INTERVAL_MS);
    }
    context.streams.handOver();
    // What is read from here on, or waits, has been sent to no replica.
    inFlight.refuseUnplaced();
    callerServer.stopListening();
    // At least one turn of the event loop, in which the refusals are written.
    do {
      await sleep(REFUSAL_CHECK_INTERVAL_MS);
    } while (inFlight.count > 0 && clock() < closeMs);
    log.write('instanceStopped', { cut: inFlight.count });
    await close();
  };

  return { context, stop, kill: close };
}
