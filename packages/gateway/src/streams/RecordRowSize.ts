import type { StoredRecord } from './recordRow.js';

/** Maximum size of a row's JSON, in bytes; as base64 it has a third more. */
const MAX_ROW_BYTES = 45_000;
/** Size of a key in base64, in bytes. */
const KEY_BYTES = 11;
/** Size of a group without its names and keys, in bytes, with times of any length. */
const GROUP_BYTES = 120;

/**
 * Tells whether a row with records of streams stays within the size that the store accepts.
 *
 * The size depends on the number of different origins and times, so that the number of
 * records doesn't bound it. The times have to be aligned; see `alignTimes`.
 */
export class RecordRowSize {
  readonly #groups = new Set<string>();
  #bytes = 0;

  /** Whether the row can take a record. */
  fits(record: StoredRecord): boolean {
    return this.#bytes + this.#bytesOf(record) <= MAX_ROW_BYTES;
  }

  /** Counts a record that the row has taken. */
  add(record: StoredRecord): void {
    this.#bytes += this.#bytesOf(record);
    this.#groups.add(this.#groupOf(record));
  }

  #bytesOf(record: StoredRecord): number {
    const group = this.#groupOf(record);
    return this.#groups.has(group)
      ? KEY_BYTES
      : KEY_BYTES + GROUP_BYTES + Buffer.byteLength(group);
  }

  #groupOf(record: StoredRecord): string {
    const { service, softwareVersion, untilMs, firstMs } = record;
    return JSON.stringify([service, softwareVersion, untilMs, firstMs]);
  }
}
