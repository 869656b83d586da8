import type { CrashNews } from '@jujubecroft/decisions';
import type { proto } from '@jujubecroft/operator/peers';
import type {
  BackendServerId,
  PromptPartKey,
  RequestFingerprint,
} from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import { fromHashBytes, toHashBytes } from '../util/shortHash.js';

/** Fields of a message that report crashes of backend servers. */
export type CrashFields = Pick<
  proto.GatewayState,
  'askedParts' | 'cleared' | 'crashes' | 'servedParts'
>;

/** Stands on the wire for an unknown start time of a backend server. */
const UNKNOWN_START = 0;

/** @returns the message fields for crashes */
export function toCrashFields({
  crashes,
  cleared,
  asked,
  served,
}: CrashNews): CrashFields {
  return {
    crashes: crashes.map(({ id, bornMs, ageMs, goesOn, ...lost }) => ({
      backendServer: id,
      bornMs: bornMs ?? UNKNOWN_START,
      ageMs: Math.round(ageMs),
      goesOn,
      suspects: toHashBytes(lost.suspects),
      parts: toHashBytes(lost.parts),
      servedParts: toHashBytes(lost.servedParts),
    })),
    cleared: toHashBytes(cleared),
    askedParts: toHashBytes(asked),
    servedParts: toHashBytes(served),
  };
}

/** @returns the crashes that a message reports */
export function fromCrashFields({
  crashes,
  cleared,
  askedParts,
  servedParts,
}: CrashFields): CrashNews {
  return {
    crashes: crashes.map(
      ({ backendServer, bornMs, ageMs, goesOn, ...lost }) => ({
        id: brand<BackendServerId>(backendServer),
        bornMs: bornMs === UNKNOWN_START ? null : bornMs,
        ageMs,
        goesOn,
        suspects: fromHashBytes<RequestFingerprint>(lost.suspects),
        parts: fromHashBytes<PromptPartKey>(lost.parts),
        servedParts: fromHashBytes<PromptPartKey>(lost.servedParts),
      }),
    ),
    cleared: fromHashBytes<RequestFingerprint>(cleared),
    asked: fromHashBytes<PromptPartKey>(askedParts),
    served: fromHashBytes<PromptPartKey>(servedParts),
  };
}
