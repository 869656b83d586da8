import { randomBytes } from 'node:crypto';
import type { StreamRecord } from '@jujubecroft/decisions';
import { writesOwnRecords } from '@jujubecroft/decisions';
import { eraOf } from '@jujubecroft/types';

import type { GatewayContext } from '../GatewayContext.js';
import type { ExpiringTable } from '../ports/DiscoveryStore.js';
import type { RecordReader } from './RecordReader.js';
import { eraPrefix } from './RecordReader.js';
import type { StoredRecord } from './recordRow.js';
import { alignTimes, formatRecordRow } from './recordRow.js';
import { RecordRowSize } from './RecordRowSize.js';

/** Shortest time between two writes of one instance, in milliseconds. */
const MIN_INTERVAL_MS = 100;
/** Time by which each instance that writes lengthens the interval, in milliseconds. */
const INTERVAL_PER_WRITER_MS = 10;
/** Time from a failed call to the next one, in milliseconds. */
const RETRY_DELAY_MS = 500;
/**
 * Time for which a row takes further records, in milliseconds. It is written anew with each
 * of them, so that the table has few rows.
 */
const ROW_SPAN_MS = 1000;
/** Maximum number of records in a row. */
const MAX_RECORDS_PER_ROW = 1500;
/** Maximum number of rows that wait while the store is away; the oldest are dropped. */
const MAX_ROWS = 90;
/** Maximum number of rows that one transaction removes. */
const MAX_REMOVED = 90;
/** Interval between reads that find expired rows of other instances, in milliseconds. */
const CLEAN_UP_INTERVAL_MS = 30_000;
/** Longest time for which a record is stored, in milliseconds; see {@link STORED_AGAIN_MS}. */
const MAX_KEEP_MS = 60_000;
/** Time after which a stream that still runs is stored again, in milliseconds. */
export const STORED_AGAIN_MS = MAX_KEEP_MS / 2;
const NAME_BYTES = 6;

/** A row of this instance, with local times: those of the store may change with its era. */
interface OwnRow {
  readonly number: number;
  /** Time of its first record. */
  readonly openedMs: number;
  readonly records: StoredRecord[];
  readonly size: RecordRowSize;
  /** Time up to which it is needed, in milliseconds. */
  untilMs: number;
  /** Number of its records that the store has. */
  written: number;
}

/**
 * Writes records of streams to the store, for the time after a loss of all instances.
 *
 * Records are collected for a short time and written together; no stream waits for that. A
 * row of another era of the store doesn't count, so that all rows are written again once a
 * reply shows a new era.
 */
export class RecordWriter {
  /** Differs in each run of an instance, which must not overwrite rows of the run before. */
  readonly #name = randomBytes(NAME_BYTES).toString('hex');
  #table: ExpiringTable | null = null;
  #rows: OwnRow[] = [];
  #lastNumber = 0;
  #era = 0;
  #cleanedMs = -Infinity;
  #isScheduled = false;

  /**
   * @param context - clock, timers, members and view
   * @param reader - knows the rows of other instances
   */
  constructor(
    private readonly context: Pick<
      GatewayContext,
      'clock' | 'membership' | 'metrics' | 'router' | 'timers'
    >,
    private readonly reader: RecordReader,
  ) {}

  /** Connects the store. */
  connect(table: ExpiringTable): void {
    this.#table = table;
  }

  /** Adds a record to those that are written next. */
  add({
    key,
    service,
    softwareVersion,
    keepMs,
    provenAgeMs,
  }: StreamRecord): void {
    const nowMs = this.context.clock();
    const record = alignTimes({
      key,
      service,
      softwareVersion,
      untilMs: nowMs + Math.min(MAX_KEEP_MS, keepMs),
      firstMs: nowMs - provenAgeMs,
    });
    const row = this.#rowFor(record);
    row.records.push(record);
    row.size.add(record);
    row.untilMs = Math.max(row.untilMs, record.untilMs);
    this.#schedule(this.#intervalMs);
  }

  /** Writes all rows again if the view shows that the store was restored. */
  checkEra(): void {
    const era = eraOf(this.context.router.board.replicas.version);
    if (this.#rows.length > 0 && era > this.#era) {
      this.#onEra(era);
      this.#schedule(this.#intervalMs);
    }
  }

  /** Writes what has not been written yet, before this instance stops. */
  async flush(): Promise<void> {
    for (const row of this.#waitingRows) {
      await this.#write(row);
    }
  }

  /** What the store's clock is ahead of the local one, by the latest view, in milliseconds. */
  get #storeAheadMs(): number {
    const { replicas } = this.context.router.board;
    return replicas.asOfMs + replicas.ageMs - this.context.clock();
  }

  /** Number of instances that write. */
  get #writers(): number {
    const { self, serving, instances } = this.context.membership;
    if (writesOwnRecords(instances.length)) {
      return instances.length;
    }
    const domains = serving.map(({ failureDomain }) => failureDomain);
    return new Set([self.failureDomain, ...domains]).size;
  }

  get #intervalMs(): number {
    return Math.max(MIN_INTERVAL_MS, INTERVAL_PER_WRITER_MS * this.#writers);
  }

  #rowFor(record: StoredRecord): OwnRow {
    const nowMs = this.context.clock();
    const last = this.#rows.at(-1);
    if (
      last &&
      nowMs - last.openedMs < ROW_SPAN_MS &&
      last.records.length < MAX_RECORDS_PER_ROW &&
      last.size.fits(record)
    ) {
      return last;
    }
    this.#lastNumber += 1;
    const row: OwnRow = {
      number: this.#lastNumber,
      openedMs: nowMs,
      records: [],
      size: new RecordRowSize(),
      untilMs: 0,
      written: 0,
    };
    this.#rows = [...this.#rows, row].slice(-MAX_ROWS);
    return row;
  }

  #schedule(delayMs: number): void {
    if (this.#isScheduled) {
      return;
    }
    this.#isScheduled = true;
    this.context.timers.after(delayMs, () => {
      void this.#writeNext().then(isWritten => {
        this.#isScheduled = false;
        if (this.#nextRow()) {
          this.#schedule(isWritten ? this.#intervalMs : RETRY_DELAY_MS);
        }
      });
    });
  }

  /** The rows of which the store lacks records that are still needed, the oldest first. */
  get #waitingRows(): readonly OwnRow[] {
    const nowMs = this.context.clock();
    return this.#rows.filter(
      ({ records, written, untilMs }) =>
        written < records.length && untilMs > nowMs,
    );
  }

  #nextRow(): OwnRow | undefined {
    return this.#waitingRows[0];
  }

  /** @returns whether the store answered */
  async #writeNext(): Promise<boolean> {
    const isRead = await this.#findExpired();
    const row = this.#nextRow();
    return isRead && (row === undefined || (await this.#write(row)));
  }

  /** Reads the table before the first write, and from time to time after it. */
  async #findExpired(): Promise<boolean> {
    const nowMs = this.context.clock();
    if (nowMs - this.#cleanedMs < CLEAN_UP_INTERVAL_MS) {
      return true;
    }
    const isRead = await this.reader.refresh();
    if (isRead) {
      this.#cleanedMs = nowMs;
      this.#onEra(this.reader.era ?? this.#era);
    }
    return isRead;
  }

  async #write(row: OwnRow): Promise<boolean> {
    const { metrics } = this.context;
    const viewEra = eraOf(this.context.router.board.replicas.version);
    if (viewEra < this.#era) {
      // The view tells the times of the clock before the restore.
      return false;
    }
    this.#onEra(viewEra);
    const count = row.records.length;
    const era = this.#era;
    try {
      if (!this.#table) {
        throw new Error('there is no table');
      }
      const { version } = await this.#table.replace(
        this.#keyOf(row),
        formatRecordRow(row.records.slice(0, count).map(this.#onStoreClock())),
        this.#takeExpired(),
      );
      metrics.streamRecordCalls.inc({ kind: 'written' });
      if (eraOf(version) === era) {
        row.written = count;
      } else {
        this.#onEra(eraOf(version));
      }
      return true;
    } catch {
      metrics.streamRecordCalls.inc({ kind: 'failed' });
      return false;
    }
  }

  /** @returns a function that translates local times */
  #onStoreClock(): (record: StoredRecord) => StoredRecord {
    const aheadMs = this.#storeAheadMs;
    return ({ untilMs, firstMs, ...origin }) => ({
      ...origin,
      untilMs: untilMs + aheadMs,
      firstMs: firstMs + aheadMs,
    });
  }

  /** Notes the era of the store; what was written in another one is written again. */
  #onEra(era: number): void {
    if (era !== this.#era) {
      this.#era = era;
      this.#rows.forEach(row => {
        row.written = 0;
      });
    }
  }

  #keyOf({ number }: Pick<OwnRow, 'number'>): string {
    return `${eraPrefix(this.#era)}${this.#name}-${number}`;
  }

  /** Returns the keys of rows that nobody needs any more, and forgets those of this instance. */
  #takeExpired(): readonly string[] {
    const nowMs = this.context.clock();
    const expired = this.#rows.filter(({ untilMs }) => untilMs <= nowMs);
    this.#rows = this.#rows.filter(row => !expired.includes(row));
    const own = expired.map(row => this.#keyOf(row));
    const others = this.reader.takeExpired(MAX_REMOVED - own.length);
    return [...new Set([...own, ...others])];
  }
}
