const MIN_FINAL_STATUS = 200;
const MAX_STATUS = 599;
const CHUNKED = 'chunked';

/**
 * Whether a status is one of a final response (RFC 9110, section 15). HTTP parsers accept any
 * three digits.
 */
export function isFinalStatus(status: number): boolean {
  return status >= MIN_FINAL_STATUS && status <= MAX_STATUS;
}

/**
 * Whether an HTTP parser decodes a body. It reads one with another transfer coding than
 * `chunked` up to the end of the connection.
 *
 * The values are compared as they are, since `trim` removes characters that are part of the
 * name of a coding for the parser.
 *
 * @param codings - values of all headers `Transfer-Encoding`
 */
export function isDecoded(codings: readonly string[]): boolean {
  const [coding, ...others] = codings.filter(value => value !== '');
  return (
    codings.length === 0 ||
    (coding?.toLowerCase() === CHUNKED && others.length === 0)
  );
}
