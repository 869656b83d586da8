import * as z from 'zod';
import type { StreamOrigin } from '@jujubecroft/decisions';
import type { ServiceId, SoftwareVersion, StreamKey } from '@jujubecroft/types';
import { brand, groupBy } from '@jujubecroft/types';

import { fromHashBytes, toHashBytes } from '../util/shortHash.js';

/** Unit of the times in a row, so that records of about one age form one group. */
const TIME_UNIT_MS = 1000;

const groupSchema = z.object({
  service: z.string(),
  version: z.string(),
  untilMs: z.number(),
  firstMs: z.number(),
  // Keys of the streams, base64.
  keys: z.string(),
});

const rowSchema = z.object({ origins: z.array(groupSchema) });

/** The origin of a stream with absolute times; in a row, those of the store's clock. */
export interface StoredRecord extends StreamOrigin {
  readonly key: StreamKey;
  /** Time up to which the record is needed, in milliseconds. */
  readonly untilMs: number;
  /** Time at which the stream was first reported, in milliseconds. */
  readonly firstMs: number;
}

function roundUp(ms: number): number {
  return TIME_UNIT_MS * Math.ceil(ms / TIME_UNIT_MS);
}

/**
 * Rounds the times of a record up. Records whose times are equal then stay in one group of a
 * row, whatever the difference to the store's clock is.
 *
 * @param record - a record with times of any clock
 */
export function alignTimes(record: StoredRecord): StoredRecord {
  return {
    ...record,
    untilMs: roundUp(record.untilMs),
    firstMs: roundUp(record.firstMs),
  };
}

/**
 * Builds the content of a row with records of streams.
 *
 * @param records - the records
 * @returns content that can be written as JSON; times are rounded so that none is kept for
 *   too short a time, and no age is stated that isn't proven
 */
export function formatRecordRow(records: readonly StoredRecord[]): unknown {
  const groups = groupBy(
    records,
    ({ service, softwareVersion, untilMs, firstMs }) =>
      JSON.stringify([
        service,
        softwareVersion,
        roundUp(untilMs),
        roundUp(firstMs),
      ]),
  );
  return {
    origins: [...groups.values()].flatMap(group => {
      const [first] = group;
      return first
        ? {
            service: first.service,
            version: first.softwareVersion,
            untilMs: roundUp(first.untilMs),
            firstMs: roundUp(first.firstMs),
            keys: toHashBytes(group.map(({ key }) => key)).toString('base64'),
          }
        : [];
    }),
  };
}

/**
 * Reads the content of a row.
 *
 * @param content - parsed JSON
 * @returns the records; null if the content has another form
 */
export function parseRecordRow(
  content: unknown,
): readonly StoredRecord[] | null {
  const { data } = rowSchema.safeParse(content);
  return data
    ? data.origins.flatMap(({ service, version, untilMs, firstMs, keys }) =>
        fromHashBytes<StreamKey>(Buffer.from(keys, 'base64')).map(key => ({
          key,
          service: brand<ServiceId>(service),
          softwareVersion: brand<SoftwareVersion>(version),
          untilMs,
          firstMs,
        })),
      )
    : null;
}
