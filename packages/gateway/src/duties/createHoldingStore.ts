import { parseHolding } from '@jujubecroft/decisions';

import type { HoldingStore } from '../ports/DutyPorts.js';

/** A row of a store that is written under a condition. */
export interface ConditionalRow {
  /** The content is null, and the version 0, where the row doesn't exist. */
  readonly read: () => Promise<{
    readonly content: unknown;
    readonly version: number;
    readonly storeMs: number;
  }>;
  /**
   * Writes the row if it has a certain version.
   *
   * @returns null where it had another one
   * @throws Error where it isn't known whether the row is written
   */
  readonly writeIf: (
    content: unknown,
    expectedVersion: number,
  ) => Promise<{ readonly version: number; readonly storeMs: number } | null>;
}

/** @returns the holding as it is kept in a row */
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
