import type { ServiceError } from '@grpc/grpc-js';
import { Metadata, status } from '@grpc/grpc-js';
import type { ResultCodeId } from '@jujubecroft/types';
import { RESULT_CODES, toRouterError } from '@jujubecroft/types';

const GRPC_STATUS: Partial<Record<ResultCodeId, status>> = {
  configInvalid: status.INVALID_ARGUMENT,
  changeConflict: status.ABORTED,
  entityNotFound: status.NOT_FOUND,
  platformUnavailable: status.UNAVAILABLE,
  operatorUnknown: status.UNAUTHENTICATED,
};

/**
 * Converts any thrown value to a gRPC error that carries its result code.
 *
 * @param thrown - the caught value
 * @returns error for the gRPC library, with `result-code` and `ran` as metadata
 */
export function toGrpcError(thrown: unknown): ServiceError {
  const err = toRouterError(thrown);
  const metadata = new Metadata();
  metadata.set('result-code', String(RESULT_CODES[err.code].number));
  metadata.set('ran', err.ran);
  return Object.assign(new Error(err.message), {
    code: GRPC_STATUS[err.code] ?? status.INTERNAL,
    details: `${RESULT_CODES[err.code].number} ${err.code}: ${err.message}`,
    metadata,
  });
}
