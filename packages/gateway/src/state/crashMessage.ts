import type { CrashNews } from '@jujubecroft/decisions';
import type { proto } from '@jujubecroft/operator/peers';
import type { BackendServerId, RequestFingerprint } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

/** Fields of a message that report crashes of backend servers. */
export type CrashFields = Pick<proto.GatewayState, 'cleared' | 'crashes'>;

const FINGERPRINT_BYTES = 8;
const NO_BYTES = Buffer.alloc(0);
/** Stands on the wire for an unknown start time of a backend server. */
const UNKNOWN_START = 0;

function encodeFingerprints(
  fingerprints: readonly RequestFingerprint[],
): Buffer {
  return fingerprints.length === 0
    ? NO_BYTES
    : Buffer.concat(
        fingerprints.map(fingerprint => Buffer.from(fingerprint, 'hex')),
      );
}

/**
 * Decodes fingerprints; an incomplete one at the end, as in damaged data, is ignored.
 */
function decodeFingerprints(bytes: Uint8Array): readonly RequestFingerprint[] {
  if (bytes.length < FINGERPRINT_BYTES) {
    return [];
  }
  const whole = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  const count = Math.floor(whole.length / FINGERPRINT_BYTES);
  return Array.from({ length: count }, (_, index) => {
    const start = index * FINGERPRINT_BYTES;
    const end = start + FINGERPRINT_BYTES;
    return brand<RequestFingerprint>(whole.toString('hex', start, end));
  });
}

/** @returns the message fields for crashes */
export function toCrashFields({ crashes, cleared }: CrashNews): CrashFields {
  return {
    crashes: crashes.map(({ id, bornMs, ageMs, goesOn, suspects }) => ({
      backendServer: id,
      bornMs: bornMs ?? UNKNOWN_START,
      ageMs: Math.round(ageMs),
      goesOn,
      suspects: encodeFingerprints(suspects),
    })),
    cleared: encodeFingerprints(cleared),
  };
}

/** @returns the crashes that a message reports */
export function fromCrashFields({ crashes, cleared }: CrashFields): CrashNews {
  return {
    crashes: crashes.map(
      ({ backendServer, bornMs, ageMs, goesOn, suspects }) => ({
        id: brand<BackendServerId>(backendServer),
        bornMs: bornMs === UNKNOWN_START ? null : bornMs,
        ageMs,
        goesOn,
        suspects: decodeFingerprints(suspects),
      }),
    ),
    cleared: decodeFingerprints(cleared),
  };
}
