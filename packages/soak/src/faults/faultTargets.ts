import type { FaultTarget } from '../evidence.js';
import type { SoakFleet } from '../SoakFleet.js';
import type { FaultKind, PlannedFault } from './planFaults.js';

/** Changes that operators make on purpose and that must disturb nobody. */
const PLANNED: readonly FaultKind[] = [
  'configuration-change',
  'configuration-storm',
  'gateway-reload',
  'gateway-rolling-stop',
  'gateway-stop',
  'key-added',
  'replica-drain',
];

/** Whether a kind is something that operators do on purpose. */
export function isPlanned(kind: FaultKind): boolean {
  return PLANNED.includes(kind);
}

/**
 * What a fault is done to.
 *
 * @param fault - of a plan
 * @param fleet - tells how many targets there are
 */
export function targetOf(
  { kind, target }: PlannedFault,
  fleet: Pick<SoakFleet, 'gateways' | 'replicas'>,
): FaultTarget {
  if (kind === 'gateway-rolling-stop' || kind === 'gateways-kill-all') {
    return { what: 'gateway', index: null };
  }
  if (
    kind.startsWith('configuration') ||
    kind === 'key-added' ||
    kind === 'burst'
  ) {
    return { what: 'configuration', index: null };
  }
  if (kind === 'crashing-request') {
    return { what: 'replica', index: null };
  }
  if (kind.startsWith('replica')) {
    return { what: 'replica', index: target % fleet.replicas.length };
  }
  if (kind.startsWith('store') && !kind.startsWith('store-link')) {
    return { what: 'store', index: null };
  }
  return { what: 'gateway', index: target % fleet.gateways.length };
}
