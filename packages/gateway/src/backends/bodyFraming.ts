import type { RawHeaders } from '../ports/CallerDialect.js';
import { headerValue } from '../util/headers.js';

/**
 * How the end of a response body is determined (RFC 9112, section 6.3).
 *
 * The length or the last chunk of a self-delimited body proves that it is
 * complete. The end of the connection, which delimits every other body, also
 * follows when the server dies.
 */
export type BodyFraming = 'closeDelimited' | 'selfDelimited';

/** Status codes of responses without a body. */
const BODYLESS_STATUSES: readonly number[] = [204, 304];

/**
 * Determines the framing of a response body.
 *
 * @param method - method of the request
 * @param status - status of the response
 * @param headers - headers of the response, as received
 * @returns the framing; a response without a body is self-delimited
 */
export function bodyFraming(
  method: string,
  status: number,
  headers: RawHeaders,
): BodyFraming {
  const hasNoBody = method === 'HEAD' || BODYLESS_STATUSES.includes(status);
  const isChunked = /(?:^|,)\s*chunked\s*$/i.test(
    headerValue(headers, 'transfer-encoding') ?? '',
  );
  return hasNoBody ||
    isChunked ||
    headerValue(headers, 'content-length') !== undefined
    ? 'selfDelimited'
    : 'closeDelimited';
}
