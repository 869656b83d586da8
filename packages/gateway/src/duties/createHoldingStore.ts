import type { HoldingRow } from '@jujubecroft/decisions';
import { parseHolding } from '@jujubecroft/decisions';
import { eraOf } from '@jujubecroft/types';

import type { HoldingStore } from '../ports/DutyPorts.js';

/** A row of a table, with its version combined with the era of the store. */
export interface TableRow {
  readonly key: string;
  readonly version: number;
  /** Parsed content; null if the row was removed. */
  readonly content: unknown;
}

/** A table of a store that supports compare-and-set by version. */
export interface ConditionalTable {
  /** Reads all rows; the version of the store states its era. */
  readonly read: () => Promise<{
    readonly rows: readonly TableRow[];
    readonly version: number;
    readonly storeMs: number;
  }>;
  /**
   * Writes a row if it has the expected version; 0 if it must not exist.
   *
   * @returns the new version; null if the row had another version
   * @throws Error if it is unknown whether the row was written
   */
  readonly writeIf: (
    key: string,
    content: unknown,
    expectedVersion: number,
  ) => Promise<{ readonly version: number; readonly storeMs: number } | null>;
}

const KEY = 'holding';

/** Key of the row of an era. */
function keyOf(era: number): string {
  return era === 0 ? KEY : `${KEY}-${era}`;
}

/** Selects the row of an era, and the newest one of earlier eras. */
function selectRow(rows: readonly TableRow[], era: number): HoldingRow {
  const own = rows.find(({ key }) => key === keyOf(era));
  const earlier = Array.from({ length: era }, (_, index) => era - 1 - index)
    .map(before => rows.find(({ key }) => key === keyOf(before)))
    .find(row => row !== undefined);
  return {
    era,
    version: own?.version ?? 0,
    holding: parseHolding(own?.content ?? null),
    earlier: own ? null : parseHolding(earlier?.content ?? null),
  };
}

/** @returns a store that keeps the holding of the duties in one row for each era */
export function createHoldingStore(table: ConditionalTable): HoldingStore {
  return {
    read: async () => {
      const { rows, version, storeMs } = await table.read();
      return { row: selectRow(rows, eraOf(version)), storeMs };
    },
    write: async ({ era, expectedVersion, holding }) => {
      const key = keyOf(era);
      const written = await table.writeIf(key, holding, expectedVersion);
      return written ? { kind: 'written', ...written } : { kind: 'refused' };
    },
  };
}
