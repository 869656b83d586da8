import { parseHolding } from '@jujubecroft/decisions';

import type { HoldingStore } from '../ports/DutyPorts.js';

/** A row of a store that supports compare-and-set by version. */
export interface ConditionalRow {
  /** Reads the row; if it doesn't exist, the content is null and the version 0. */
  readonly read: () => Promise<{
    readonly content: unknown;
    readonly version: number;
    readonly storeMs: number;
  }>;
  /**
   * Writes the row if it has the expected version.
   *
   * @returns the new version; null if the row had another version
   * @throws Error if it is unknown whether the row was written
   */
  readonly writeIf: (
    content: unknown,
    expectedVersion: number,
  ) => Promise<{ readonly version: number; readonly storeMs: number } | null>;
}

/** @returns a store that keeps the holding of the duties in a row */
export function createHoldingStore(row: ConditionalRow): HoldingStore {
  return {
    read: async () => {
      const { content, version, storeMs } = await row.read();
      return { row: { version, holding: parseHolding(content) }, storeMs };
    },
    write: async ({ expectedVersion, holding }) => {
      const written = await row.writeIf(holding, expectedVersion);
      return written ? { kind: 'written', ...written } : { kind: 'refused' };
    },
  };
}
