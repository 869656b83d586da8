import type {
  Member,
  StreamRecord,
  StreamRecords,
} from '@jujubecroft/decisions';
import { keepersOf, recordWriterFor } from '@jujubecroft/decisions';
import type { proto } from '@jujubecroft/operator/peers';
import type { ServiceId, StreamKey } from '@jujubecroft/types';

import type { GatewayContext } from '../GatewayContext.js';
import { toOrigins } from './originMessage.js';
import { STORED_AGAIN_MS } from './RecordWriter.js';

/** Sends a message about streams to another instance. */
export type SendStreamMessage = (
  message: Partial<proto.StreamMessage>,
  to: string,
) => void;

/**
 * Number of instances that keep the record of a stream. If a third of the instances is lost at
 * once, all of them are among these for one stream in eighty.
 */
const KEEPERS = 4;
/** Interval between checks whether records have come to be needed, in milliseconds. */
export const CHECK_MS = 100;
/** Records that are added within this time are sent together, in milliseconds. */
const BATCH_MS = 5;
/** Maximum number of records in one datagram, which then has some 1,000 bytes. */
const MAX_RECORDS_PER_DATAGRAM = 100;

/** Who needs the records of a service's streams, besides this instance. */
export interface RecordNeeds {
  /** Whether other instances do. */
  readonly byInstances: (service: ServiceId) => boolean;
  /** Whether instances do that start after a loss of all. */
  readonly afterLoss: (service: ServiceId) => boolean;
}

/** A stream of this instance that has not ended. */
interface RunningStream {
  readonly record: StreamRecord;
  /** Local time of the record. */
  readonly atMs: number;
  isPublished: boolean;
  /** Local time at which it was last passed on to be stored; infinitely long ago if never. */
  storedMs: number;
}

/**
 * Tells other instances where the streams of this one began, so that they can be continued
 * when this one is gone.
 *
 * The records are kept by instances in several failure domains that follow from the key of
 * the stream. A lost record costs its caller a refusal, never a join.
 */
export class OriginPublisher {
  readonly #running = new Map<StreamKey, RunningStream>();
  #pending: StreamRecord[] = [];
  /** Keys of the pending records that another instance is to store. */
  readonly #toStore = new Set<StreamKey>();
  #isCheckScheduled = false;

  /**
   * @param context - clock, timers and members
   * @param own - records of this instance
   * @param needs - who needs the records
   * @param send - sends a message to another instance
   * @param store - writes a record to the store
   */
  constructor(
    private readonly context: Pick<
      GatewayContext,
      'clock' | 'membership' | 'metrics' | 'timers'
    >,
    private readonly own: StreamRecords,
    private readonly needs: RecordNeeds,
    private readonly send: SendStreamMessage,
    private readonly store: (record: StreamRecord) => void,
  ) {}

  /** Records a stream whose caller has its first event. */
  onBegun(record: StreamRecord): void {
    const provenAgeMs = this.own.add(record);
    const stream = {
      record: { ...record, provenAgeMs },
      atMs: this.context.clock(),
      isPublished: false,
      storedMs: -Infinity,
    };
    this.#running.set(record.key, stream);
    this.#passOnIfNeeded(stream);
    this.#scheduleCheck();
  }

  /** Forgets a stream that has ended; its record is kept. */
  onEnded(key: StreamKey): void {
    this.#running.delete(key);
  }

  /** Passes all records on, before this instance stops. */
  handOver(): void {
    this.#pending.push(...this.own.current);
    this.#flush();
  }

  /**
   * Checks from time to time whether records of running streams have come to be needed.
   * There is no timer without streams, so that an idle instance is not woken up.
   */
  #scheduleCheck(): void {
    if (this.#running.size > 0 && !this.#isCheckScheduled) {
      this.#isCheckScheduled = true;
      this.context.timers.after(CHECK_MS, () => {
        this.#isCheckScheduled = false;
        this.#running.forEach(stream => {
          this.#passOnIfNeeded(stream);
        });
        this.#scheduleCheck();
      });
    }
  }

  #passOnIfNeeded(stream: RunningStream): void {
    const { record, atMs } = stream;
    const { service } = record;
    const nowMs = this.context.clock();
    const current = {
      ...record,
      provenAgeMs: record.provenAgeMs + nowMs - atMs,
    };
    const isStoreDue =
      nowMs - stream.storedMs >= STORED_AGAIN_MS &&
      this.needs.afterLoss(service);
    const isStoredElsewhere = isStoreDue && this.#writer !== null;
    if (isStoreDue) {
      stream.storedMs = nowMs;
    }
    // Without the other origin, those who get the record would take the stream for unambiguous.
    const contradiction = this.own.contradictionOf(record.key);
    const records = contradiction
      ? [current, { ...current, ...contradiction }]
      : [current];
    if (isStoreDue && !isStoredElsewhere) {
      records.forEach(this.store);
    }
    if (isStoredElsewhere) {
      this.#toStore.add(record.key);
    }
    const isPublishDue = !stream.isPublished && this.needs.byInstances(service);
    if (isPublishDue || isStoredElsewhere) {
      stream.isPublished ||= isPublishDue;
      this.#publish(records);
    }
  }

  /** The instance that writes the records of this one; null if it writes them itself. */
  get #writer(): Member | null {
    const { self, serving } = this.context.membership;
    const { instance: id, failureDomain } = self;
    return recordWriterFor({ id, failureDomain }, serving);
  }

  #publish(records: readonly StreamRecord[]): void {
    if (this.#pending.length === 0) {
      this.context.timers.after(BATCH_MS, () => {
        this.#flush();
      });
    }
    this.#pending.push(...records);
  }

  #flush(): void {
    const { serving } = this.context.membership;
    const writer = this.#writer;
    const byAddress = new Map<string, StreamRecord[]>();
    this.#pending.forEach(record => {
      const keepers = keepersOf(record.key, serving).slice(0, KEEPERS);
      const isStored = writer !== null && this.#toStore.has(record.key);
      const receivers = new Set(isStored ? [...keepers, writer] : keepers);
      receivers.forEach(({ peerAddress }) => {
        const records = byAddress.get(peerAddress) ?? [];
        byAddress.set(peerAddress, records);
        records.push(record);
      });
    });
    this.#pending = [];
    this.#toStore.clear();
    byAddress.forEach((records, address) => {
      for (let at = 0; at < records.length; at += MAX_RECORDS_PER_DATAGRAM) {
        const some = records.slice(at, at + MAX_RECORDS_PER_DATAGRAM);
        this.context.metrics.peerMessages.inc({ kind: 'origins' });
        this.send({ origins: toOrigins(some) }, address);
      }
    });
  }
}
