import type { RequestId } from '@jujubecroft/types';
import { isDecoded, isFinalStatus } from '@jujubecroft/types';

import type { RawHeaders, ResponseHead } from '../ports/CallerDialect.js';
import { headerValues } from '../util/headers.js';
import { InvalidResponseError } from './InvalidResponseError.js';

const MIN_ERROR_STATUS = 400;

/** Head of a response as received, and what it means. */
export interface ReceivedHead {
  readonly status: number;
  readonly headers: RawHeaders;
  readonly head: ResponseHead;
}

/**
 * Validates a head before anything that it states is believed.
 *
 * @param received - the head
 * @param requestId - the request that the response is expected to belong to
 * @throws InvalidResponseError if it is not the head of a response to this request
 */
export function validateHead(
  { status, headers, head }: ReceivedHead,
  requestId: RequestId,
): void {
  if (!isFinalStatus(status)) {
    throw new InvalidResponseError(
      'invalidStatus',
      `status ${status} is not one of a final response`,
    );
  }
  const codings = headerValues(headers, 'transfer-encoding');
  // A sender that states both may mean either, and a caller may get the other one.
  if (
    codings.length > 0 &&
    headerValues(headers, 'content-length').length > 0
  ) {
    throw new InvalidResponseError(
      'malformed',
      'body with a length and a transfer coding',
    );
  }
  if (!isDecoded(codings)) {
    throw new InvalidResponseError(
      'unknownCoding',
      'body with an unknown transfer coding',
    );
  }
  // A late response to another request, such as a copy of its rejection, can arrive in place
  // of the expected one. Nothing that it states is about this request.
  if (head.requestId !== requestId) {
    throw new InvalidResponseError('otherRequest', 'answer of another request');
  }
  if (head.isContradictory) {
    throw new InvalidResponseError(
      'contradictory',
      `status ${status} with statements that exclude one another`,
    );
  }
  // No caller gets the body of a rejection, whose statement is needed.
  if (head.hasContentCoding && !head.notRun) {
    throw new InvalidResponseError(
      'contentCoding',
      'body with a content coding',
    );
  }
  if (status < MIN_ERROR_STATUS && !head.hasExecutionStamp) {
    throw new InvalidResponseError(
      'unproven',
      'success without the stamp of an execution',
    );
  }
  if (head.promisesNotRun && !head.notRun) {
    throw new InvalidResponseError(
      'unproven',
      `status ${status} without the statement that the request did not run`,
    );
  }
}
