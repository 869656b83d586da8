import murmurhash from 'murmurhash';
import { createRandom } from '@jujubecroft/types';

/** Faults that are short and may occur many times in a plan. */
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

/** Faults that last longer. They are drawn independently of the short ones. */
const LONG_KINDS = [
  'crashing-request',
  'replica-limit',
  'replica-leave-in-answers',
  'replica-requests-pauses',
  'store-restored',
  'replicas-drain-together',
  'drains-at-restarts',
  'gateways-lose-paths',
  'gateway-loses-paths',
  'crashing-part',
  'replica-copies-rejections',
  'replica-never-ends',
  'replica-spoils-heads',
  'callers-send-early',
  'callers-stall',
  'replicas-contradict',
  'replica-silence',
  'configuration-series',
] as const;

/** All kinds of faults and planned operations. */
export const FAULT_KINDS = [...SHORT_KINDS, ...LONG_KINDS] as const;

export type FaultKind = (typeof FAULT_KINDS)[number];

/** A fault in a plan. */
export interface PlannedFault {
  readonly kind: FaultKind;
  /** Start, relative to the start of the load. */
  readonly atMs: number;
  /** Duration. */
  readonly forMs: number;
  /** Drawn number that selects the target, modulo the number of targets. */
  readonly target: number;
  /** Strength from 0 to 1, for kinds that have one. */
  readonly strength: number;
}

/** Fault-free period before the first fault. */
const WARM_UP_MS = 1500;
/** Fault-free period at the end, in which the system must recover. */
export const COOLDOWN_MS = 9000;
/** Mean time between faults. It is short enough that some overlap. */
const MEAN_GAP_MS = 900;
const MIN_FAULT_MS = 200;
const MAX_FAULT_MS = 4000;
/** Probability that a fault is repeated soon after on the same target. */
const REPEAT_PROBABILITY = 0.3;
const MAX_REPEAT_GAP_MS = 1200;
/** Number of short kinds in a plan. With few kinds, the same combinations recur. */
const KINDS_PER_PLAN = 7;
/** Probability that a plan has a given long fault. */
const LONG_FAULT_PROBABILITY = 0.4;
/** Long enough for time bounds, which apply only after `SoakBounds.faultFreeMs`. */
const LONG_FAULT_MS = 9000;
const TARGET_RANGE = 1000;

function pickKinds(
  random: () => number,
  from: readonly FaultKind[],
): readonly FaultKind[] {
  return [...from]
    .map(kind => ({ kind, rank: random() }))
    .sort((a, b) => a.rank - b.rank)
    .slice(0, KINDS_PER_PLAN)
    .map(({ kind }) => kind);
}

/** Draws the long faults of a plan. */
function planLongFaults(
  seed: number,
  lastEndMs: number,
  from: readonly FaultKind[],
): readonly PlannedFault[] {
  // A separate generator, so that the short faults of a seed do not depend on these.
  const random = createRandom(murmurhash.v3(`long ${seed}`));
  const availableMs = lastEndMs - WARM_UP_MS - LONG_FAULT_MS;
  return LONG_KINDS.flatMap(kind => {
    const isDrawn = random() < LONG_FAULT_PROBABILITY;
    const fault = {
      kind,
      atMs: WARM_UP_MS + availableMs * random(),
      forMs: LONG_FAULT_MS,
      target: Math.floor(random() * TARGET_RANGE),
      strength: random(),
    };
    return isDrawn && availableMs > 0 && from.includes(kind) ? [fault] : [];
  });
}

/**
 * Draws the faults of one run from a seed.
 *
 * @param seed - equal seeds give equal plans
 * @param seconds - duration of the load in seconds
 * @param from - kinds to draw from
 * @returns faults by start time; all end before the fault-free period at the end
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
  const lastEndMs = seconds * 1000 - COOLDOWN_MS;
  const faults: PlannedFault[] = [];
  const addFault = (kind: FaultKind, atMs: number, target: number): void => {
    const span = MAX_FAULT_MS - MIN_FAULT_MS;
    const forMs = MIN_FAULT_MS + span * random() * random();
    const strength = random();
    if (atMs + forMs > lastEndMs) {
      return;
    }
    faults.push({ kind, atMs, forMs, target, strength });
    if (random() < REPEAT_PROBABILITY) {
      addFault(kind, atMs + forMs + random() * MAX_REPEAT_GAP_MS, target);
    }
  };
  let atMs = WARM_UP_MS;
  while (atMs < lastEndMs) {
    const kind = kinds[Math.floor(random() * kinds.length)];
    if (kind) {
      addFault(kind, atMs, Math.floor(random() * TARGET_RANGE));
    }
    atMs += -Math.log(1 - random()) * MEAN_GAP_MS;
  }
  return [...faults, ...planLongFaults(seed, lastEndMs, from)].sort(
    (a, b) => a.atMs - b.atMs,
  );
}
