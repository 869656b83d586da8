import type {
  GatewayRouter,
  Membership,
  StopPlan,
} from '@jujubecroft/decisions';
import type { EventLog } from '@jujubecroft/events';
import type { ClientResources } from '@jujubecroft/http-server';

import type { BackendConnections } from './backends/BackendConnections.js';
import type { EndConfirmation } from './forward/EndConfirmation.js';
import type { ResponseWatch } from './front/ResponseWatch.js';
import type { StalledUploads } from './front/StalledUploads.js';
import type { GatewaySettings } from './GatewaySettings.js';
import type { EventLoopDelayMonitor } from './EventLoopDelayMonitor.js';
import type { GatewayMetrics } from './metrics/GatewayMetrics.js';
import type { CallerDialect } from './ports/CallerDialect.js';
import type { Timers } from './ports/Timers.js';
import type { BufferBudget } from './responses/BufferBudget.js';
import type { RelayConnector } from './relay/RelayConnector.js';
import type { ReplicaConnector } from './relay/ReplicaConnector.js';
import type { ViewLease } from './state/ViewLease.js';
import type { StreamOrigins } from './streams/StreamOrigins.js';

/** State and services that the parts of one instance share. */
export interface GatewayContext {
  /** Replaced as a whole when the settings file changes. */
  settings: GatewaySettings;
  readonly router: GatewayRouter;
  readonly membership: Membership;
  readonly lease: ViewLease;
  readonly connections: BackendConnections;
  /** Opens connections to replicas. */
  readonly replicaConnector: ReplicaConnector;
  /** Opens connections to replicas through other instances. */
  readonly relay: RelayConnector;
  /** Confirms ends of responses that only their connection delimits. */
  readonly endConfirmation: EndConfirmation;
  /** Software versions at which streams began. */
  readonly streams: StreamOrigins;
  /** What the clients of its servers may hold. */
  readonly resources: ClientResources;
  /** Memory for the bodies of requests. */
  readonly requestBudget: BufferBudget;
  /** Bodies of requests that are being read. */
  readonly uploads: StalledUploads;
  /** Memory for responses that are not complete. */
  readonly responseBudget: BufferBudget;
  readonly dialect: CallerDialect;
  readonly metrics: GatewayMetrics;
  readonly log: EventLog;
  /** Logs responses that end before they are complete. */
  readonly responseWatch: ResponseWatch;
  readonly delays: EventLoopDelayMonitor;
  /** Monotonic clock, in milliseconds. */
  readonly clock: () => number;
  readonly timers: Timers;
  /** Whether the instance was asked to stop. */
  leaving: boolean;
  /**
   * When admission becomes stricter before the stop, and when requests must
   * have ended; null while no stop is requested.
   */
  stopPlan: StopPlan | null;
}

/**
 * Whether an instance can serve callers.
 *
 * @param context - shared parts of the instance
 * @returns true once configuration and backend servers are known, until a stop
 *   is requested
 */
export function isReady(context: GatewayContext): boolean {
  const { board } = context.router;
  return !context.leaving && board.table !== null && board.replicas.version > 0;
}

/**
 * Returns the address at which an instance serves callers.
 *
 * @param context - shared parts of the instance
 * @returns host and port
 */
export function ownAddress({ settings }: GatewayContext): string {
  return `${settings.callers.host}:${settings.callers.port}`;
}
