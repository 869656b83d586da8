import type {
  GatewayRouter,
  Membership,
  StopPlan,
} from '@jujubecroft/decisions';
import type { EventLog } from '@jujubecroft/events';

import type { BackendConnections } from './backends/BackendConnections.js';
import type { GatewaySettings } from './GatewaySettings.js';
import type { LoopDelays } from './LoopDelays.js';
import type { GatewayMetrics } from './metrics/GatewayMetrics.js';
import type { CallerDialect } from './ports/CallerDialect.js';
import type { Timers } from './ports/Timers.js';
import type { ViewLease } from './state/ViewLease.js';

/** What the parts of one instance share. */
export interface GatewayContext {
  /** Replaced as a whole when the settings file changes. */
  settings: GatewaySettings;
  readonly router: GatewayRouter;
  readonly membership: Membership;
  readonly lease: ViewLease;
  readonly connections: BackendConnections;
  readonly dialect: CallerDialect;
  readonly metrics: GatewayMetrics;
  readonly log: EventLog;
  readonly delays: LoopDelays;
  readonly clock: () => number;
  readonly timers: Timers;
  /** Whether a stop was asked for. */
  leaving: boolean;
  /** What is still taken before the stop; null while the instance runs on. */
  stopPlan: StopPlan | null;
}

/**
 * Whether an instance can serve callers.
 *
 * @param context - of the instance
 * @returns true once configuration and backend servers are known, until it leaves
 */
export function isReady(context: GatewayContext): boolean {
  const { board } = context.router;
  return !context.leaving && board.table !== null && board.replicas.version > 0;
}

/** @returns host and port where an instance takes callers */
export function ownAddress({ settings }: GatewayContext): string {
  return `${settings.callers.host}:${settings.callers.port}`;
}
