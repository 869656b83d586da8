/**
 * How the end of a response body is determined (RFC 9112, section 6.3).
 *
 * The length or the last chunk of a self-delimited body proves that it is
 * complete. The end of the connection, which delimits every other body, also
 * follows when the server dies.
 */
export type BodyFraming = 'closeDelimited' | 'selfDelimited';

/** Parts of a response, and of its request, that determine its framing. */
export interface FramedMessage {
  /** Method of the request. */
  readonly method: string;
  readonly status: number;
  /** Value of the header `Content-Length`; undefined if there is none. */
  readonly contentLength: string | undefined;
  /** Value of the header `Transfer-Encoding`; undefined if there is none. */
  readonly transferEncoding: string | undefined;
}

/** Status codes of responses without a body. */
const BODYLESS_STATUSES: readonly number[] = [204, 304];
const CHUNKED_PATTERN = /(?:^|,)\s*chunked\s*$/i;

/**
 * Whether a response has no body, whatever its headers say.
 *
 * @param method - method of the request
 * @param status - status of the response
 */
export function isBodyless(method: string, status: number): boolean {
  return method === 'HEAD' || BODYLESS_STATUSES.includes(status);
}

/** @returns the framing; a response without a body is self-delimited */
export function bodyFraming({
  method,
  status,
  contentLength,
  transferEncoding = '',
}: FramedMessage): BodyFraming {
  return isBodyless(method, status) ||
    contentLength !== undefined ||
    CHUNKED_PATTERN.test(transferEncoding)
    ? 'selfDelimited'
    : 'closeDelimited';
}
