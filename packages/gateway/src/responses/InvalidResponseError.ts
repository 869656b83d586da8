/** Why bytes from a backend server are no response to the request. */
export type ResponseFault =
  /** The response states that the request did not run, and something that excludes this. */
  | 'contradictory'
  /** The response states a content coding although callers ask for none. */
  | 'contentCoding'
  /** An error response or a rejection has a body that is too large to be kept. */
  | 'errorBody'
  /** An event of a resumable stream is too large to be kept. */
  | 'eventSize'
  /** There are too many bytes outside the body, in heads or in chunk extensions. */
  | 'framing'
  /** The status is not one of a final response. */
  | 'invalidStatus'
  /** The bytes do not follow the grammar of HTTP. */
  | 'malformed'
  /** The response states the id of another request, none or several. */
  | 'otherRequest'
  /** This instance failed to process the response. */
  | 'unexpected'
  /** The body has a transfer coding that this instance cannot decode. */
  | 'unknownCoding'
  /** A success without the stamp of an execution, or a refusal without "not run". */
  | 'unproven';

/** Ends an exchange whose bytes are no response to the request. */
export class InvalidResponseError extends Error {
  /**
   * @param fault - what is wrong with the bytes
   * @param message - the same for a log line
   */
  constructor(
    readonly fault: ResponseFault,
    message: string,
  ) {
    super(message);
  }
}

/** @returns the fault that an error of an exchange stands for */
export function faultOf(err: Error): ResponseFault {
  return err instanceof InvalidResponseError ? err.fault : 'unexpected';
}
