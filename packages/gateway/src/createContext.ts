import murmurhash from 'murmurhash';
import {
  createGatewayBoard,
  DEFAULT_MEMBERSHIP,
  defaultGatewayPolicies,
  GatewayRouter,
  Membership,
} from '@jujubecroft/decisions';
import { DEFAULT_MACHINE, divideResources } from '@jujubecroft/http-server';
import { createRandom } from '@jujubecroft/types';

import { BackendConnections } from './backends/BackendConnections.js';
import type { SocketFactory } from './backends/openSocket.js';
import { ResponseWatch } from './front/ResponseWatch.js';
import { StalledUploads } from './front/StalledUploads.js';
import type { GatewayContext } from './GatewayContext.js';
import { onPathLost } from './relay/onPathLost.js';
import { RelayConnector } from './relay/RelayConnector.js';
import { ReplicaConnector } from './relay/ReplicaConnector.js';
import { BufferBudget } from './responses/BufferBudget.js';
import { EndConfirmation } from './forward/EndConfirmation.js';
import type { GatewaySettings } from './GatewaySettings.js';
import { EventLoopDelayMonitor } from './EventLoopDelayMonitor.js';
import { GatewayMetrics } from './metrics/GatewayMetrics.js';
import { PEER_PERIOD_MS } from './state/PeerLoop.js';
import { peerFanout } from './state/peerFanout.js';
import { refutationMs } from './state/refutationMs.js';
import { createBypassLogger } from './state/createBypassLogger.js';
import { ViewLease } from './state/ViewLease.js';
import { StreamOrigins } from './streams/StreamOrigins.js';

/** Interval of the periodic tasks of an instance. */
export const HOUSEKEEPING_INTERVAL_MS = 100;

/** Dependencies of an instance that its host provides. */
export type ContextDependencies = Pick<
  GatewayContext,
  'clock' | 'dialect' | 'log' | 'timers'
> & {
  /**
   * Start time in Unix milliseconds, used as the incarnation in the membership
   * protocol. It normally grows from run to run; if the time of day was set
   * back, the instance refutes the entry of its earlier run.
   */
  readonly startedMs: number;
  /** Opens connections to backend servers; `connect` of `node:net` if omitted. */
  readonly connect?: SocketFactory | undefined;
  /** Time of day in Unix milliseconds; the system clock if omitted. */
  readonly timeOfDay?: () => number;
};

/**
 * Creates the shared parts of one instance.
 *
 * @param settings - validated settings
 * @param parts - dependencies that the host provides
 * @returns the context of an instance without configuration and replicas
 */
export function createContext(
  settings: GatewaySettings,
  {
    clock,
    dialect,
    log,
    timers,
    startedMs,
    connect,
    timeOfDay,
  }: ContextDependencies,
): GatewayContext {
  const { instance, failureDomain, retryBudget } = settings;
  // The seed differs from run to run; otherwise all instances would repeat
  // their random numbers after a restart.
  const random = createRandom(murmurhash.v3(instance) ^ startedMs);
  const board = createGatewayBoard({
    clock,
    random,
    instance,
    failureDomain,
    retryBudget,
    duties: settings.duties,
    dividesCapacity: settings.dividesCapacity ?? false,
    ...(timeOfDay ? { timeOfDay } : {}),
  });
  const membership = new Membership(
    {
      instance,
      failureDomain,
      callerAddress: '',
      peerAddress: settings.peerAddress,
    },
    clock,
    random,
    {
      ...DEFAULT_MEMBERSHIP,
      fanout: peerFanout,
      periodMs: PEER_PERIOD_MS,
      suspicionTimeoutMs: refutationMs,
      incarnation: startedMs,
    },
  );
  const router = new GatewayRouter(board, defaultGatewayPolicies(board));
  const relay = new RelayConnector(membership, board.relays);
  const replicaConnector = new ReplicaConnector({
    board,
    relay,
    factory: connect,
    onRelayed: (replica, socket) => {
      onPathLost(context, replica, socket);
    },
    onRelayDoubtful: replica => {
      context.connections.closeRelayed(replica);
    },
    onDirect: replica => {
      if (board.paths.onDirect(replica)) {
        log.write('pathRestored', {
          backendServer: replica.id,
          service: replica.service,
          lostPaths: board.paths.lostCount,
        });
        context.connections.closeRelayed(replica);
      }
    },
  });
  const metrics = new GatewayMetrics();
  const resources = divideResources(settings.machine ?? DEFAULT_MACHINE);
  const parts: Omit<GatewayContext, 'streams'> = {
    settings,
    router,
    membership,
    lease: new ViewLease(board, timers, () => context.settings.freshWithinMs),
    connections: new BackendConnections({ replicas: replicaConnector, relay }),
    replicaConnector,
    relay,
    endConfirmation: new EndConfirmation({
      timers,
      connector: replicaConnector,
      relay,
    }),
    resources,
    requestBudget: new BufferBudget(resources.bodyBytes),
    uploads: new StalledUploads(clock),
    responseBudget: new BufferBudget(resources.responseBytes),
    dialect,
    metrics,
    log,
    responseWatch: new ResponseWatch({ clock, dialect, log, metrics, router }),
    delays: new EventLoopDelayMonitor(clock, HOUSEKEEPING_INTERVAL_MS),
    clock,
    timers,
    leaving: false,
    stopPlan: null,
  };
  // The same object, since some of its fields change.
  const context: GatewayContext = Object.assign(parts, {
    streams: new StreamOrigins(parts),
  });
  context.lease.onBypass(createBypassLogger(context));
  return context;
}
