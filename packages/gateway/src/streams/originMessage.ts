import type {
  KnownOrigin,
  SoleVersion,
  StreamRecord,
} from '@jujubecroft/decisions';
import { GatewayState } from '@jujubecroft/operator/peers';
import type { proto } from '@jujubecroft/operator/peers';
import type { ServiceId, SoftwareVersion, StreamKey } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import { fromHashBytes, toHashBytes } from '../util/shortHash.js';

/** What an instance answers to the question where a stream began. */
export interface OriginReply {
  /** Null if it does not know. */
  readonly origin: KnownOrigin | null;
  /** Only version of the service that was asked about; null if there is none. */
  readonly sole: SoleVersion | null;
  /** Age of its view of the replicas, in milliseconds. */
  readonly viewAgeMs: number;
}

/** Largest time in a message, in milliseconds. */
const MAX_TIME_MS = 0xffff_ffff;
/** Unit of the ages of streams, so that those of about one age form one group. */
const AGE_UNIT_MS = 100;
/** Stands for a service or version that is not known. */
const UNKNOWN = '';

function toTime(ms: number): number {
  return Math.min(MAX_TIME_MS, Math.max(0, Math.round(ms)));
}

/** Builds a datagram that holds a message about streams only. */
export function toStreamDatagram(
  message: Partial<proto.StreamMessage>,
): GatewayState {
  return GatewayState.fromPartial({ streams: message });
}

/** Age of a stream in a message; rounded down, it remains proven. */
function toProvenAge(ms: number): number {
  return toTime(AGE_UNIT_MS * Math.floor(ms / AGE_UNIT_MS));
}

/**
 * Groups records by service, version, time and age.
 *
 * @param records - the records
 * @returns the message fields
 */
export function toOrigins(
  records: readonly StreamRecord[],
): proto.StreamOrigins[] {
  const groups = new Map<string, StreamRecord[]>();
  records.forEach(record => {
    const { service, softwareVersion, keepMs, provenAgeMs } = record;
    const name = JSON.stringify([
      service,
      softwareVersion,
      toTime(keepMs),
      toProvenAge(provenAgeMs),
    ]);
    groups.set(name, [...(groups.get(name) ?? []), record]);
  });
  return [...groups.values()].flatMap(group => {
    const [first] = group;
    return first
      ? {
          service: first.service,
          softwareVersion: first.softwareVersion,
          keepMs: toTime(first.keepMs),
          provenAgeMs: toProvenAge(first.provenAgeMs),
          keys: toHashBytes(group.map(({ key }) => key)),
        }
      : [];
  });
}

/** @returns the records in a message */
export function fromOrigins(
  origins: readonly proto.StreamOrigins[],
): readonly StreamRecord[] {
  return origins
    .filter(({ softwareVersion }) => softwareVersion !== UNKNOWN)
    .flatMap(({ service, softwareVersion, keepMs, provenAgeMs, keys }) =>
      fromHashBytes<StreamKey>(keys).map(key => ({
        key,
        service: brand<ServiceId>(service),
        softwareVersion: brand<SoftwareVersion>(softwareVersion),
        keepMs,
        provenAgeMs,
      })),
    );
}

/** @returns the message field for an answer */
export function toAnswer(
  number: number,
  { origin, sole, viewAgeMs }: OriginReply,
): proto.OriginAnswer {
  return {
    number,
    service: origin?.service ?? UNKNOWN,
    softwareVersion: origin?.softwareVersion ?? UNKNOWN,
    ageMs: toTime(origin?.ageMs ?? 0),
    provenAgeMs: toTime(origin?.provenAgeMs ?? 0),
    soleVersion: sole?.softwareVersion ?? UNKNOWN,
    soleForMs: toTime(sole?.forMs ?? 0),
    viewAgeMs: toTime(viewAgeMs),
  };
}

/** @returns what an answer says */
export function fromAnswer(answer: proto.OriginAnswer): OriginReply {
  const { service, softwareVersion, ageMs, provenAgeMs } = answer;
  const { soleVersion, soleForMs } = answer;
  return {
    origin:
      softwareVersion === UNKNOWN
        ? null
        : {
            service: brand<ServiceId>(service),
            softwareVersion: brand<SoftwareVersion>(softwareVersion),
            ageMs,
            provenAgeMs,
          },
    sole:
      soleVersion === UNKNOWN
        ? null
        : {
            softwareVersion: brand<SoftwareVersion>(soleVersion),
            forMs: soleForMs,
          },
    viewAgeMs: answer.viewAgeMs,
  };
}
