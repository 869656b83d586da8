import type { StreamRecord, StreamRecords } from '@jujubecroft/decisions';
import { keepersOf } from '@jujubecroft/decisions';
import type { proto } from '@jujubecroft/operator/peers';
import type { ServiceId, StreamKey } from '@jujubecroft/types';

import type { GatewayContext } from '../GatewayContext.js';
import { toOrigins } from './originMessage.js';

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

/** A stream of this instance that has not ended. */
interface RunningStream {
  readonly record: StreamRecord;
  /** Local time of the record. */
  readonly atMs: number;
  isPublished: boolean;
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
  #isCheckScheduled = false;

  /**
   * @param context - clock, timers and members
   * @param own - records of this instance
   * @param isNeeded - whether other instances need records of a service's streams
   * @param send - sends a message to another instance
   */
  constructor(
    private readonly context: Pick<
      GatewayContext,
      'clock' | 'membership' | 'metrics' | 'timers'
    >,
    private readonly own: StreamRecords,
    private readonly isNeeded: (service: ServiceId) => boolean,
    private readonly send: SendStreamMessage,
  ) {}

  /** Records a stream whose caller has its first event. */
  onBegun(record: StreamRecord): void {
    const provenAgeMs = this.own.add(record);
    const stream = {
      record: { ...record, provenAgeMs },
      atMs: this.context.clock(),
      isPublished: false,
    };
    this.#running.set(record.key, stream);
    this.#publishIfNeeded(stream);
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
   * There is no timer without such streams, so that an idle instance is not woken up.
   */
  #scheduleCheck(): void {
    const hasUnpublished = [...this.#running.values()].some(
      ({ isPublished }) => !isPublished,
    );
    if (hasUnpublished && !this.#isCheckScheduled) {
      this.#isCheckScheduled = true;
      this.context.timers.after(CHECK_MS, () => {
        this.#isCheckScheduled = false;
        this.#running.forEach(stream => {
          this.#publishIfNeeded(stream);
        });
        this.#scheduleCheck();
      });
    }
  }

  #publishIfNeeded(stream: RunningStream): void {
    const { record, atMs } = stream;
    if (!stream.isPublished && this.isNeeded(record.service)) {
      stream.isPublished = true;
      const provenAgeMs = record.provenAgeMs + this.context.clock() - atMs;
      this.#publish([{ ...record, provenAgeMs }]);
    }
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
    const byAddress = new Map<string, StreamRecord[]>();
    this.#pending.forEach(record => {
      keepersOf(record.key, serving)
        .slice(0, KEEPERS)
        .forEach(({ peerAddress }) => {
          const records = byAddress.get(peerAddress) ?? [];
          byAddress.set(peerAddress, records);
          records.push(record);
        });
    });
    this.#pending = [];
    byAddress.forEach((records, address) => {
      for (let at = 0; at < records.length; at += MAX_RECORDS_PER_DATAGRAM) {
        const some = records.slice(at, at + MAX_RECORDS_PER_DATAGRAM);
        this.context.metrics.peerMessages.inc({ kind: 'origins' });
        this.send({ origins: toOrigins(some) }, address);
      }
    });
  }
}
