import type { RequestId } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import type { RawHeaders } from '../ports/CallerDialect.js';

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

/**
 * Indexes headers by name.
 *
 * @param raw - headers as received
 * @returns values by lower-case name; the last one if a name is repeated
 */
export function headerMap(raw: RawHeaders): ReadonlyMap<string, string> {
  const values = new Map<string, string>();
  for (let index = 0; index < raw.length; index += 2) {
    values.set((raw[index] ?? '').toLowerCase(), raw[index + 1] ?? '');
  }
  return values;
}

/**
 * Finds a header without indexing the others; Node.js indexes all headers when
 * one of them is read by its name.
 *
 * @param raw - headers as received
 * @param name - lower-case name
 * @returns the value of the first header with this name; undefined if there is
 *   none
 */
export function headerValue(raw: RawHeaders, name: string): string | undefined {
  for (let index = 0; index < raw.length; index += 2) {
    const received = raw[index] ?? '';
    // The length is compared first, since few names have to be converted then.
    if (received.length === name.length && received.toLowerCase() === name) {
      return raw[index + 1];
    }
  }
  return undefined;
}

/**
 * Finds all headers with a name.
 *
 * @param raw - headers as received
 * @param name - lower-case name
 * @returns their values in order
 */
export function headerValues(raw: RawHeaders, name: string): readonly string[] {
  const values: string[] = [];
  for (let index = 0; index < raw.length; index += 2) {
    const received = raw[index] ?? '';
    // The length is compared first, since few names have to be converted then.
    if (received.length === name.length && received.toLowerCase() === name) {
      values.push(raw[index + 1] ?? '');
    }
  }
  return values;
}

/** @returns the values that a header lists, separated by commas, in lower case */
export function listedValues(value: string): readonly string[] {
  return value.split(',').map(text => text.trim().toLowerCase());
}

/** Values that deny what the name of their header states. */
const DENIALS: readonly string[] = ['0', 'false', 'no'];

/**
 * Returns what all headers with a name state.
 *
 * @param raw - headers as received
 * @param name - name in lower case
 * @returns the value; null if there is no such header or their values differ
 */
export function agreedValue(raw: RawHeaders, name: string): string | null {
  const [first, ...others] = new Set(headerValues(raw, name));
  return others.length === 0 ? (first ?? null) : null;
}

/**
 * Whether a header denies what its name states, as with the value `false`.
 *
 * @param raw - headers as received
 * @param name - name in lower case
 */
export function isDenied(raw: RawHeaders, name: string): boolean {
  return headerValues(raw, name)
    .flatMap(listedValues)
    .some(value => DENIALS.includes(value));
}

const CONNECTION = 'connection';

/** Names that the sender lists in its `connection` headers. */
function namesInConnectionHeader(raw: RawHeaders): readonly string[] {
  return headerValues(raw, CONNECTION).flatMap(listedValues);
}

/** What a filter of headers removes and keeps in addition to its names. */
export interface HeaderFilterOptions {
  /** Decides by its lower-case name and its value whether a header is removed. */
  readonly isRemoved?: (name: string, value: string) => boolean;
  /**
   * Lower-case names that a `connection` header can't remove, since they are intended for
   * all recipients (RFC 9110, section 7.6.1).
   */
  readonly endToEnd?: readonly string[];
}

/**
 * Creates a function that removes headers that must not be forwarded.
 *
 * @param names - lower-case names to remove in addition to the hop-by-hop
 *   headers
 * @param options - further headers to remove or to keep
 * @returns a function of the headers as received; it returns the others in
 *   order, names and values in alternation
 */
export function createHeaderFilter(
  names: readonly string[],
  { isRemoved = () => false, endToEnd = [] }: HeaderFilterOptions = {},
): (raw: RawHeaders) => string[] {
  const always = new Set([...CONNECTION_HEADERS, ...names]);
  return raw => {
    const listed = namesInConnectionHeader(raw).filter(
      name => !endToEnd.includes(name),
    );
    const kept: string[] = [];
    for (let index = 0; index < raw.length; index += 2) {
      const name = raw[index] ?? '';
      const value = raw[index + 1] ?? '';
      const lowerCase = name.toLowerCase();
      if (
        !always.has(lowerCase) &&
        !listed.includes(lowerCase) &&
        !isRemoved(lowerCase, value)
      ) {
        kept.push(name, value);
      }
    }
    return kept;
  };
}

/**
 * Adds a header to a list, unless there is no value.
 *
 * @param headers - names and values in alternation
 * @param name - name of the header
 * @param value - its value; null for none
 */
export function addOptionalHeader(
  headers: string[],
  name: string,
  value: string | null,
): void {
  if (value !== null) {
    headers.push(name, value);
  }
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

/** Form of a request id that a caller names. */
const REQUEST_NAME_PATTERN = /^[\x21-\x7e]{1,128}$/;

/** Reads the id of the last event; an empty one states that there was none. */
export function parseLastEventId(text: string | undefined): string | null {
  return text === undefined || text === '' ? null : text;
}

/**
 * Reads the id of an earlier request, which has 1 to 128 visible ASCII characters.
 *
 * @returns null for any other text
 */
export function parseRequestName(text: string | undefined): RequestId | null {
  return text !== undefined && REQUEST_NAME_PATTERN.test(text)
    ? brand<RequestId>(text)
    : null;
}
