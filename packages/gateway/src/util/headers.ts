import type { RawHeaders } from '../ports/CallerDialect.js';

/** Name and value of a header as received. */
export type HeaderPair = readonly [name: string, value: string];

/** Hop-by-hop headers, which apply to a single connection. */
const CONNECTION_HEADERS: readonly string[] = [
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
];

function toPairs(raw: RawHeaders): readonly HeaderPair[] {
  return Array.from({ length: raw.length / 2 }, (_, index) => [
    raw[2 * index] ?? '',
    raw[2 * index + 1] ?? '',
  ]);
}

/**
 * Indexes headers by name.
 *
 * @param raw - headers as received
 * @returns values by lower-case name; the last one if a name is repeated
 */
export function headerMap(raw: RawHeaders): ReadonlyMap<string, string> {
  return new Map(
    toPairs(raw).map(([name, value]) => [name.toLowerCase(), value]),
  );
}

/** Names that the sender lists in its `connection` headers. */
function namesInConnectionHeader(
  pairs: readonly HeaderPair[],
): readonly string[] {
  return pairs
    .filter(([name]) => name.toLowerCase() === 'connection')
    .flatMap(([, value]) => value.split(','))
    .map(name => name.trim().toLowerCase());
}

/**
 * Removes headers that must not be forwarded.
 *
 * @param raw - headers as received
 * @param names - lower-case names to remove in addition to the hop-by-hop
 *   headers
 * @returns the other headers, in order
 */
export function headersWithout(
  raw: RawHeaders,
  names: readonly string[],
): readonly HeaderPair[] {
  const pairs = toPairs(raw);
  const dropped = new Set([
    ...CONNECTION_HEADERS,
    ...names,
    ...namesInConnectionHeader(pairs),
  ]);
  return pairs.filter(([name]) => !dropped.has(name.toLowerCase()));
}

/** @returns the header as name and value, or nothing if the value is null */
export function optionalHeader(name: string, value: string | null): string[] {
  return value === null ? [] : [name, value];
}

/**
 * Parses the credentials of an `Authorization` header.
 *
 * @param text - value of the header
 * @param scheme - expected scheme in lower case, with the space after it
 * @returns the credentials; null if there are none under this scheme
 */
export function parseCredentials(
  text: string | undefined,
  scheme: string,
): string | null {
  return text?.toLowerCase().startsWith(scheme) === true
    ? text.slice(scheme.length).trim()
    : null;
}
