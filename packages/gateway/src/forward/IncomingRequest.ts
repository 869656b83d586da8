import type { RawHeaders, RequestHead } from '../ports/CallerDialect.js';

/** A caller's request as it was received. */
export interface IncomingRequest {
  readonly method: string;
  readonly target: string;
  readonly headers: RawHeaders;
  readonly head: RequestHead;
  readonly body: Buffer | null;
}
