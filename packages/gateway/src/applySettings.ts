import type { GatewayContext } from './GatewayContext.js';
import type { GatewaySettings } from './GatewaySettings.js';

/** Settings that an instance uses from its start to its end. */
const FIXED = [
  'instance',
  'failureDomain',
  'callers',
  'readiness',
  'directory',
  'peers',
  'peerAddress',
  'metrics',
  'duties',
  'dividesCapacity',
  'machine',
  'logLevel',
] as const satisfies readonly (keyof GatewaySettings)[];

/**
 * Puts changed settings in force, apart from those that need a restart.
 *
 * @param context - shared parts of the instance
 * @param next - the settings as the file states them now
 * @returns names of the settings that differ and need a restart
 */
export function applySettings(
  context: Pick<GatewayContext, 'router' | 'settings'>,
  next: GatewaySettings,
): readonly string[] {
  const { settings: before } = context;
  // An instance that moved nowhere must not state another address or domain than its own.
  const fixed = Object.fromEntries(FIXED.map(name => [name, before[name]]));
  context.settings = { ...next, ...fixed };
  context.router.board.budget.changeRules(next.retryBudget);
  return FIXED.filter(
    name => JSON.stringify(next[name]) !== JSON.stringify(before[name]),
  );
}
