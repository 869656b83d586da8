import { createHash } from 'node:crypto';
import type { Brand } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

/** Length of a hash; 64 bits make collisions between callers improbable. */
const HASH_BYTES = 8;
const HEX_DIGITS = 2 * HASH_BYTES;
const NO_BYTES = Buffer.alloc(0);

/**
 * Computes a short hash of some values.
 *
 * @param values - the values, in order
 * @param content - data that belongs to them; null for none
 * @returns the first digits of a SHA-256 hash
 */
// The caller has to name the brand: it cannot be inferred from the values.
// eslint-disable-next-line @typescript-eslint/no-unnecessary-type-parameters
export function shortHash<B extends Brand<string, string>>(
  values: readonly (string | null)[],
  content: Uint8Array | null = null,
): B {
  const hash = createHash('sha256');
  // JSON quotes the values, so that different ones never yield the same text.
  hash.update(JSON.stringify(values));
  if (content) {
    hash.update(content);
  }
  return brand<B>(hash.digest('hex').slice(0, HEX_DIGITS));
}

/** @returns the bytes of short hashes, as messages contain them */
export function toHashBytes(hashes: readonly string[]): Buffer {
  return hashes.length === 0 ? NO_BYTES : Buffer.from(hashes.join(''), 'hex');
}

/**
 * Decodes short hashes; an incomplete one at the end, as in damaged data, is ignored.
 */
// eslint-disable-next-line @typescript-eslint/no-unnecessary-type-parameters
export function fromHashBytes<B extends Brand<string, string>>(
  bytes: Uint8Array,
): readonly B[] {
  const all = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  return Array.from(
    { length: Math.floor(all.length / HASH_BYTES) },
    (_, index) => {
      const start = index * HASH_BYTES;
      return brand<B>(all.toString('hex', start, start + HASH_BYTES));
    },
  );
}
