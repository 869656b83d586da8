import type { StreamRecord } from '@jujubecroft/decisions';
import { recordWriterFor, writesOwnRecords } from '@jujubecroft/decisions';
import type { ServiceId } from '@jujubecroft/types';

import type { GatewayContext } from '../GatewayContext.js';

/** Time within which an instance learns of a version that another one knows, in milliseconds. */
const LEARNED_WITHIN_MS = 5000;

/** A record of another instance. */
interface ReceivedRecord {
  readonly record: StreamRecord;
  readonly atMs: number;
}

/**
 * The records of other instances that this one writes to the store, in fleets where only some
 * instances do.
 */
export class RecordsOfOthers {
  /** Records of services of which this instance doesn't know yet that they need any. */
  #received: readonly ReceivedRecord[] = [];

  /**
   * @param context - clock and members
   * @param isNeeded - whether records of a service's streams are written
   * @param store - writes a record to the store
   */
  constructor(
    private readonly context: Pick<GatewayContext, 'clock' | 'membership'>,
    private readonly isNeeded: (service: ServiceId) => boolean,
    private readonly store: (record: StreamRecord) => void,
  ) {}

  /** Takes the records that another instance sent. */
  receive(records: readonly StreamRecord[]): void {
    if (records.length > 0 && this.#writesForOthers) {
      const atMs = this.context.clock();
      this.#received = [
        ...this.#received,
        ...records.map(record => ({ record, atMs })),
      ];
      this.check();
    }
  }

  /** Writes the records that have come to be needed; to be called at short intervals. */
  check(): void {
    const nowMs = this.context.clock();
    const received = this.#received;
    this.#received = received.filter(
      ({ record, atMs }) =>
        !this.isNeeded(record.service) && nowMs - atMs < LEARNED_WITHIN_MS,
    );
    received
      .filter(({ record }) => this.isNeeded(record.service))
      .forEach(({ record }) => {
        this.store(record);
      });
  }

  get #writesForOthers(): boolean {
    const { self, serving } = this.context.membership;
    const { instance: id, failureDomain } = self;
    return (
      !writesOwnRecords(serving.length + 1) &&
      recordWriterFor({ id, failureDomain }, serving) === null
    );
  }
}
