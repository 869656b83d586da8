import { receivedEvents } from '../answers.js';
import type { ObservedResponse, SentRequest } from '../evidence.js';

/** What a caller lacks of a stream that broke off. */
export interface Continuation {
  /** The latest request for the stream. */
  readonly request: SentRequest;
  /** Request that brought the first event. */
  readonly first: string;
  /** Number of the last event that the caller has. */
  readonly after: number;
  /** Number of requests for the stream so far. */
  readonly tries: number;
}

/** Maximum number of requests for one stream. */
const MAX_TRIES = 4;

/**
 * Determines what a caller still lacks of a stream.
 *
 * @param request - the latest request for it
 * @param response - its response
 * @param before - what the caller lacked before; null for a new stream
 * @returns null if the stream is complete, has not begun or was tried often enough
 */
export function continuationAfter(
  request: SentRequest,
  { body, whole }: ObservedResponse,
  before: Continuation | null,
): Continuation | null {
  const [last] = receivedEvents(body).slice(-1);
  const after = last?.number ?? before?.after ?? 0;
  const tries = (before?.tries ?? 0) + 1;
  const isComplete = whole && last?.isLast === true;
  return request.kind === 'resumable' &&
    after > 0 &&
    !isComplete &&
    tries < MAX_TRIES
    ? { request, first: before?.first ?? request.id, after, tries }
    : null;
}
