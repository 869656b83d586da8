import type { FaultTarget } from '../evidence.js';
import type { SoakFleet } from '../SoakFleet.js';
import type { FaultKind, PlannedFault } from './planFaults.js';

/** Planned operations, which must not affect callers. */
const PLANNED_KINDS: readonly FaultKind[] = [
  'configuration-change',
  'configuration-series',
  'configuration-storm',
  'drains-at-restarts',
  'gateway-reload',
  'gateway-rolling-stop',
  'gateway-stop',
  'key-added',
  'replica-drain',
  'replicas-drain-together',
];

/** Faults of the links between gateways. */
export const PEER_LINK_KINDS: readonly FaultKind[] = [
  'gateway-cut',
  'peer-link-cut',
  'peer-link-delay',
  'peer-link-silent',
];

/** Faults of the links from gateways to all replicas. */
export const PATH_KINDS: readonly string[] = [
  'gateway-loses-paths',
  'gateways-lose-paths',
];

/** Whether a kind is a planned operation rather than a failure. */
export function isPlanned(kind: FaultKind): boolean {
  return PLANNED_KINDS.includes(kind);
}

/**
 * Returns the target of a fault.
 *
 * @param fault - planned fault; its drawn number selects the target
 * @param fleet - fleet whose gateways and replicas are the possible targets
 */
export function targetOf(
  { kind, target }: PlannedFault,
  fleet: Pick<SoakFleet, 'gateways' | 'replicas'>,
): FaultTarget {
  if (
    kind === 'gateway-rolling-stop' ||
    kind === 'gateways-kill-all' ||
    kind === 'gateways-lose-paths'
  ) {
    return { component: 'gateway', index: null };
  }
  if (
    kind.startsWith('callers') ||
    kind.startsWith('configuration') ||
    kind === 'key-added' ||
    kind === 'burst'
  ) {
    return { component: 'configuration', index: null };
  }
  if (
    kind === 'crashing-request' ||
    kind === 'crashing-part' ||
    kind === 'drains-at-restarts' ||
    kind === 'replica-silence' ||
    kind === 'replicas-contradict' ||
    kind === 'replicas-drain-together'
  ) {
    return { component: 'replica', index: null };
  }
  if (kind.startsWith('replica')) {
    return { component: 'replica', index: target % fleet.replicas.length };
  }
  if (kind.startsWith('store') && !kind.startsWith('store-link')) {
    return { component: 'store', index: null };
  }
  return { component: 'gateway', index: target % fleet.gateways.length };
}
