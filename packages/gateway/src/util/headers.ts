import type { RawHeaders } from '../ports/CallerDialect.js';

/** A header as it stood on the wire. */
export type HeaderPair = readonly [name: string, value: string];

/** Headers that concern one connection only. */
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

function pairsOf(raw: RawHeaders): readonly HeaderPair[] {
  return Array.from({ length: raw.length / 2 }, (_, index) => [
    raw[2 * index] ?? '',
    raw[2 * index + 1] ?? '',
  ]);
}

/** @returns headers by their name in lower case; the last of equal ones */
export function headerMap(raw: RawHeaders): ReadonlyMap<string, string> {
  return new Map(
    pairsOf(raw).map(([name, value]) => [name.toLowerCase(), value]),
  );
}

/** Names that the sender itself bound to the connection. */
function connectionBound(pairs: readonly HeaderPair[]): readonly string[] {
  return pairs
    .filter(([name]) => name.toLowerCase() === 'connection')
    .flatMap(([, value]) => value.split(','))
    .map(name => name.trim().toLowerCase());
}

/**
 * Leaves out headers that are not passed on.
 *
 * @param raw - headers as they stood on the wire
 * @param names - to leave out beside those that concern one connection only
 * @returns the others, in order
 */
export function headersWithout(
  raw: RawHeaders,
  names: readonly string[],
): readonly HeaderPair[] {
  const pairs = pairsOf(raw);
  const dropped = new Set([
    ...CONNECTION_HEADERS,
    ...names,
    ...connectionBound(pairs),
  ]);
  return pairs.filter(([name]) => !dropped.has(name.toLowerCase()));
}
