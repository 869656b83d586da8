import murmurhash from 'murmurhash';
import { createRandom } from '@jujubecroft/types';

/** What comes in many, and is over soon. */
const SHORT_KINDS = [
  'burst',
  'configuration-change',
  'configuration-storm',
  'gateway-cut',
  'gateway-kill',
  'gateway-pause',
  'gateway-reload',
  'gateway-rolling-stop',
  'gateway-stop',
  'gateways-kill-all',
  'key-added',
  'peer-link-cut',
  'peer-link-delay',
  'peer-link-silent',
  'replica-drain',
  'replica-flap',
  'replica-garbles',
  'replica-grey',
  'replica-kill',
  'replica-link-delay',
  'replica-link-reset',
  'replica-link-silent',
  'replica-loses-answers',
  'replica-pause',
  'replica-truncates',
  'store-away',
  'store-forgets',
  'store-link-cut',
  'store-link-reset',
  'store-link-silent',
  'store-loses-replies',
  'store-slow',
] as const;

/** What lasts for longer, and is planned apart from all else. */
const LONG_KINDS = ['crashing-request', 'replica-limit'] as const;

/** Everything that a soak does to the programs. */
export const FAULT_KINDS = [...SHORT_KINDS, ...LONG_KINDS] as const;

export type FaultKind = (typeof FAULT_KINDS)[number];

/** One fault of a plan. */
export interface PlannedFault {
  readonly kind: FaultKind;
  /** Time from the start of the load. */
  readonly atMs: number;
  readonly forMs: number;
  /** Drawn number that picks the target; taken modulo how many there are. */
  readonly target: number;
  /** How strong, 0 to 1, where that has a meaning. */
  readonly strength: number;
}

/** Everything is up and quiet this long before the first fault. */
const QUIET_MS = 1500;
/** Calm at the end, in which the system must repair itself. */
export const CALM_MS = 9000;
/** Mean time between faults; a few overlap at any moment. */
const MEAN_GAP_MS = 900;
const MIN_FAULT_MS = 200;
const MAX_FAULT_MS = 4000;
/** Chance that a fault comes again soon after, on the same target. */
const AGAIN_CHANCE = 0.3;
const MAX_AGAIN_GAP_MS = 1200;
/** Kinds of one plan; few at a time make combinations deep rather than thin. */
const KINDS_AT_ONCE = 7;
/** Chance that a run has one of the longer faults. */
const LONG_CHANCE = 0.4;
/** Long enough for bounds that begin with the time to be in touch. */
const LONG_MS = 9000;
const TARGETS = 1000;

function pickKinds(
  random: () => number,
  from: readonly FaultKind[],
): readonly FaultKind[] {
  return [...from]
    .map(kind => ({ kind, rank: random() }))
    .sort((a, b) => a.rank - b.rank)
    .slice(0, KINDS_AT_ONCE)
    .map(({ kind }) => kind);
}

/** Draws the longer faults of one run. */
function planLong(
  seed: number,
  lastMs: number,
  from: readonly FaultKind[],
): readonly PlannedFault[] {
  // Numbers of their own, so that a seed's other faults stay what they were.
  const random = createRandom(murmurhash.v3(`long ${seed}`));
  const roomMs = lastMs - QUIET_MS - LONG_MS;
  return LONG_KINDS.flatMap(kind => {
    const isDrawn = random() < LONG_CHANCE;
    const fault = {
      kind,
      atMs: QUIET_MS + roomMs * random(),
      forMs: LONG_MS,
      target: Math.floor(random() * TARGETS),
      strength: random(),
    };
    return isDrawn && roomMs > 0 && from.includes(kind) ? [fault] : [];
  });
}

/**
 * Draws the faults of one run.
 *
 * @param seed - equal seeds give equal plans
 * @param seconds - length of the load
 * @param from - kinds to draw from
 * @returns faults in order of time; all are over before the calm at the end
 */
export function planFaults(
  seed: number,
  seconds: number,
  from: readonly FaultKind[] = FAULT_KINDS,
): readonly PlannedFault[] {
  const random = createRandom(seed);
  const kinds = pickKinds(
    random,
    SHORT_KINDS.filter(kind => from.includes(kind)),
  );
  const lastMs = seconds * 1000 - CALM_MS;
  const faults: PlannedFault[] = [];
  const add = (kind: FaultKind, atMs: number, target: number): void => {
    const span = MAX_FAULT_MS - MIN_FAULT_MS;
    const forMs = MIN_FAULT_MS + span * random() * random();
    const strength = random();
    if (atMs + forMs > lastMs) {
      return;
    }
    faults.push({ kind, atMs, forMs, target, strength });
    if (random() < AGAIN_CHANCE) {
      add(kind, atMs + forMs + random() * MAX_AGAIN_GAP_MS, target);
    }
  };
  let atMs = QUIET_MS;
  while (atMs < lastMs) {
    const kind = kinds[Math.floor(random() * kinds.length)];
    if (kind) {
      add(kind, atMs, Math.floor(random() * TARGETS));
    }
    atMs += -Math.log(1 - random()) * MEAN_GAP_MS;
  }
  return [...faults, ...planLong(seed, lastMs, from)].sort(
    (a, b) => a.atMs - b.atMs,
  );
}
