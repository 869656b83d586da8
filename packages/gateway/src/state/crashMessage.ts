import type { CrashNews } from '@jujubecroft/decisions';
import type { proto } from '@jujubecroft/operator/peers';
import type { BackendServerId, RequestFingerprint } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import { fromHashBytes, toHashBytes } from '../util/shortHash.js';

/** Fields of a message that report crashes of backend servers. */
export type CrashFields = Pick<proto.GatewayState, 'cleared' | 'crashes'>;

/** Stands on the wire for an unknown start time of a backend server. */
const UNKNOWN_START = 0;

/** @returns the message fields for crashes */
export function toCrashFields({ crashes, cleared }: CrashNews): CrashFields {
  return {
    crashes: crashes.map(({ id, bornMs, ageMs, goesOn, suspects }) => ({
      backendServer: id,
      bornMs: bornMs ?? UNKNOWN_START,
      ageMs: Math.round(ageMs),
      goesOn,
      suspects: toHashBytes(suspects),
    })),
    cleared: toHashBytes(cleared),
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
        suspects: fromHashBytes<RequestFingerprint>(suspects),
      }),
    ),
    cleared: fromHashBytes<RequestFingerprint>(cleared),
  };
}
