import { InvalidResponseError } from './InvalidResponseError.js';

/**
 * Ends an exchange whose rejection has header fields in interim responses or trailers. What
 * they state, such as the stamp of an execution, may contradict the head.
 */
export class RejectionFieldsError extends InvalidResponseError {
  constructor() {
    super(
      'contradictory',
      'rejection with header fields in interim responses or trailers',
    );
  }
}
