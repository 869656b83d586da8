/**
 * Upper limit for numbers of requests; a larger value indicates corrupted data.
 */
const MAX_REQUESTS = 1_000_000;
const MS_PER_SECOND = 1000;
const PERCENT = 100;

/**
 * Parses a finite number.
 *
 * @param text - value of a header
 * @returns the number; null if the text is missing or not a finite number
 */
export function parseNumber(text: string | undefined): number | null {
  const value = Number(text);
  return text === undefined || text.trim() === '' || !Number.isFinite(value)
    ? null
    : value;
}

/**
 * Parses a number of requests, or of requests per second.
 *
 * @param text - value of a header
 * @returns the number; null if the text is not a number or out of range
 */
export function parseAmount(text: string | undefined): number | null {
  const value = parseNumber(text);
  return value !== null && value >= 0 && value <= MAX_REQUESTS ? value : null;
}

/**
 * Parses an integer number of requests.
 *
 * Corrupted values from a replica are discarded here, since they would
 * otherwise be passed on to other instances in messages whose fields cannot
 * hold them.
 *
 * @param text - value of a header
 * @returns the number; null if the text is not an integer or out of range
 */
export function parseCount(text: string | undefined): number | null {
  const value = parseAmount(text);
  return Number.isInteger(value) ? value : null;
}

/**
 * Parses how long work takes on the host of a backend server at this moment, in per
 * cent of the usual time.
 *
 * @param text - part of a header
 * @returns the factor; null without a number above 0
 */
export function parseSlowdown(text: string | undefined): number | null {
  const percent = parseNumber(text);
  return percent !== null && percent > 0 ? percent / PERCENT : null;
}

/**
 * Parses a `Retry-After` header that states a number of seconds.
 *
 * @param text - value of the header
 * @returns the time in milliseconds; null if the text is a date, not a number or
 *   out of range
 */
export function parseRetryAfterMs(text: string | undefined): number | null {
  const seconds = parseAmount(text);
  return seconds === null ? null : seconds * MS_PER_SECOND;
}

/**
 * Formats a `Retry-After` header as a number of seconds.
 *
 * @param ms - time in milliseconds
 * @returns the value; null if the time is 0 and the header is to be omitted
 */
export function formatRetryAfter(ms: number): string | null {
  return ms > 0 ? (ms / MS_PER_SECOND).toFixed(2) : null;
}
