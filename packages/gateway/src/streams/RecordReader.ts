import type { StreamRecords } from '@jujubecroft/decisions';
import { eraOf } from '@jujubecroft/types';

import type { GatewayContext } from '../GatewayContext.js';
import type { ExpiringTable } from '../ports/DiscoveryStore.js';
import { FreshView } from './FreshView.js';
import { parseRecordRow } from './recordRow.js';

/** Interval between two reads of one instance in a fleet of any size, in milliseconds. */
const MIN_INTERVAL_MS = 50;
/** Time by which each instance of the fleet lengthens the interval, in milliseconds. */
const INTERVAL_PER_INSTANCE_MS = 2;
/**
 * Time that a request waits for a read, in milliseconds. A read in progress doesn't count, so that
 * a slow store may need two.
 */
const TIMEOUT_MS = 1200;

/** Prefix of the keys of an era's rows: a restored store may have another clock. */
export function eraPrefix(era: number): string {
  return `${era}-`;
}

/** Reads the stored records of streams, and knows which rows have expired. */
export class RecordReader {
  readonly #view: FreshView;
  #table: ExpiringTable | null = null;
  #nextReadMs = 0;
  #era: number | null = null;
  #expiredKeys: string[] = [];

  /**
   * @param context - clock, timers and members
   * @param records - gets the records that are read
   */
  constructor(
    private readonly context: Pick<
      GatewayContext,
      'clock' | 'membership' | 'metrics' | 'timers'
    >,
    private readonly records: StreamRecords,
  ) {
    this.#view = new FreshView(context.timers, () => this.#read(), TIMEOUT_MS);
  }

  /** Connects the store. */
  connect(table: ExpiringTable): void {
    this.#table = table;
  }

  /** Era of the store as of the last read; null before the first one. */
  get era(): number | null {
    return this.#era;
  }

  /**
   * Returns keys of rows that had expired at the last read, each once: a transaction that
   * fails leaves them to the next read.
   *
   * @param count - maximum number of keys
   */
  takeExpired(count: number): readonly string[] {
    return this.#expiredKeys.splice(0, count);
  }

  /** @returns whether the store answered a read that began after the call, in time */
  refresh(): Promise<boolean> {
    return this.#table ? this.#view.confirm() : Promise.resolve(false);
  }

  async #read(): Promise<boolean> {
    const { clock, timers, metrics } = this.context;
    const waitMs = this.#nextReadMs - clock();
    if (waitMs > 0) {
      await timers.sleep(waitMs);
    }
    this.#nextReadMs = clock() + this.#intervalMs;
    try {
      await this.#readOnce();
      metrics.streamRecordCalls.inc({ kind: 'read' });
      return true;
    } catch {
      metrics.streamRecordCalls.inc({ kind: 'failed' });
      return false;
    }
  }

  async #readOnce(): Promise<void> {
    if (!this.#table) {
      throw new Error('there is no table');
    }
    const { rows, version, storeMs } = await this.#table.read();
    this.#era = eraOf(version);
    const prefix = eraPrefix(this.#era);
    this.#expiredKeys = rows.flatMap(({ key, content }) => {
      if (!key.startsWith(prefix)) {
        return [key];
      }
      // Another release of this program may write rows of another form.
      const stored = parseRecordRow(content);
      const valid = stored?.filter(({ untilMs }) => untilMs > storeMs);
      valid?.forEach(({ untilMs, firstMs, ...record }) => {
        this.records.add({
          ...record,
          keepMs: untilMs - storeMs,
          provenAgeMs: Math.max(0, storeMs - firstMs),
        });
      });
      return valid?.length === 0 ? [key] : [];
    });
  }

  get #intervalMs(): number {
    const { length } = this.context.membership.instances;
    return Math.max(MIN_INTERVAL_MS, INTERVAL_PER_INSTANCE_MS * length);
  }
}
