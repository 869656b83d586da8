import type { Metadata, ServiceError, ClientUnaryCall } from '@grpc/grpc-js';

/** A unary method of a generated client, with metadata and options. */
export type UnaryMethod<Req, Res> = (
  req: Req,
  metadata: Metadata,
  options: { readonly deadline: number },
  callback: (err: ServiceError | null, res: Res) => void,
) => ClientUnaryCall;

/**
 * Calls a unary method and returns its reply as a promise.
 *
 * @param method - method of a generated client, bound to the client
 * @param req - request message
 * @param metadata - call metadata
 * @param timeoutMs - time limit for the whole call, in milliseconds
 * @returns the reply
 * @throws ServiceError when the call fails or times out
 */
export function unary<Req, Res>(
  method: UnaryMethod<Req, Res>,
  req: Req,
  metadata: Metadata,
  timeoutMs: number,
): Promise<Res> {
  return new Promise((resolve, reject) => {
    const options = { deadline: Date.now() + timeoutMs };
    method(req, metadata, options, (err, res) => {
      if (err) {
        reject(err);
        return;
      }
      resolve(res);
    });
  });
}
