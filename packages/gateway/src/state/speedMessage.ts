import type { SpeedClass, SpeedReport } from '@jujubecroft/decisions';
import type { proto } from '@jujubecroft/operator/peers';
import type { BackendServerId } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

/** Stands on the wire for an unknown start time of a replica. */
const UNKNOWN_START = 0;
/** Classes in the order of their numbers on the wire. */
const CLASSES: readonly SpeedClass[] = ['usual', 'fast', 'slow'];
const US_PER_MS = 1000;
/** Largest time on the wire, in milliseconds; more than any answer takes. */
const MAX_UNIT_MS = 1_000_000;

/** @returns the message fields for the speeds of replicas */
export function toSpeeds(
  reports: readonly SpeedReport[],
): proto.BackendSpeed[] {
  return reports.map(({ id, bornMs, samples, unitMs, speedClass }) => ({
    backendServer: id,
    bornMs: bornMs ?? UNKNOWN_START,
    samples,
    unitUs: Math.round(US_PER_MS * Math.min(MAX_UNIT_MS, unitMs)),
    speedClass: CLASSES.indexOf(speedClass),
  }));
}

/** @returns the speeds of replicas in a message; those without a time are left out */
export function fromSpeeds(
  speeds: readonly proto.BackendSpeed[],
): readonly SpeedReport[] {
  return speeds
    .filter(({ samples, unitUs }) => samples > 0 && unitUs > 0)
    .map(speed => ({
      id: brand<BackendServerId>(speed.backendServer),
      bornMs: speed.bornMs === UNKNOWN_START ? null : speed.bornMs,
      samples: speed.samples,
      unitMs: speed.unitUs / US_PER_MS,
      speedClass: CLASSES[speed.speedClass] ?? 'usual',
    }));
}
