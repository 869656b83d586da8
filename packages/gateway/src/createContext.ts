import murmurhash from 'murmurhash';
import {
  createGatewayBoard,
  DEFAULT_MEMBERSHIP,
  defaultGatewayPolicies,
  GatewayRouter,
  Membership,
} from '@jujubecroft/decisions';
import { createRandom } from '@jujubecroft/types';

import { BackendConnections } from './backends/BackendConnections.js';
import type { GatewayContext } from './GatewayContext.js';
import type { GatewaySettings } from './GatewaySettings.js';
import { LoopDelays } from './LoopDelays.js';
import { GatewayMetrics } from './metrics/GatewayMetrics.js';
import { PEER_PERIOD_MS } from './state/PeerLoop.js';
import { peerFanout } from './state/peerFanout.js';
import { refutationMs } from './state/refutationMs.js';
import { ViewLease } from './state/ViewLease.js';

/** Time between looks at what is due, in milliseconds. */
export const HOUSEKEEPING_MS = 100;

/** What an instance needs of its surroundings. */
export type ContextParts = Pick<
  GatewayContext,
  'clock' | 'dialect' | 'log' | 'timers'
> & {
  /** Time of day of the start, which grows from run to run; a step back is refuted. */
  readonly startedMs: number;
  /** In Unix milliseconds; that of the process where omitted. */
  readonly timeOfDay?: () => number;
};

/**
 * Creates what the parts of one instance share.
 *
 * @param settings - checked settings
 * @param parts - of its surroundings
 * @returns the context of an instance that knows nothing yet
 */
export function createContext(
  settings: GatewaySettings,
  { clock, dialect, log, timers, startedMs, timeOfDay }: ContextParts,
): GatewayContext {
  const { instance, failureDomain, retryBudget } = settings;
  // Each run draws other numbers, or all instances would after a restart.
  const random = createRandom(murmurhash.v3(instance) ^ startedMs);
  const board = createGatewayBoard({
    clock,
    random,
    instance,
    failureDomain,
    retryBudget,
    duties: settings.duties,
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
      suspectMs: refutationMs,
      incarnation: startedMs,
    },
  );
  const context: GatewayContext = {
    settings,
    router: new GatewayRouter(board, defaultGatewayPolicies(board)),
    membership,
    lease: new ViewLease(board, timers, () => context.settings.freshWithinMs),
    connections: new BackendConnections(),
    dialect,
    metrics: new GatewayMetrics(),
    log,
    delays: new LoopDelays(clock, HOUSEKEEPING_MS),
    clock,
    timers,
    leaving: false,
    stopPlan: null,
  };
  return context;
}
