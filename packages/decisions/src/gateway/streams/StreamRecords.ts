import type { ServiceId, SoftwareVersion, StreamKey } from '@jujubecroft/types';

import type { Clock } from '../../blackboard/Blackboard.js';

/** Where a stream began. */
export interface StreamOrigin {
  readonly service: ServiceId;
  readonly softwareVersion: SoftwareVersion;
}

/** The origin of one stream, with the time for which it has to be kept. */
export interface StreamRecord extends StreamOrigin {
  readonly key: StreamKey;
  readonly keepMs: number;
  /** Time since the stream was first reported; it is at least as old. */
  readonly provenAgeMs: number;
}

/** A known origin and how long ago it was last reported. */
export interface KnownOrigin extends StreamOrigin {
  readonly ageMs: number;
  /** Time since the stream was first reported; it is at least as old. */
  readonly provenAgeMs: number;
}

interface KeptRecord extends Omit<StreamRecord, 'provenAgeMs'> {
  readonly atMs: number;
  /** When the stream was first reported. */
  readonly firstMs: number;
  /** Another origin with which the stream was reported; null if there is none. */
  readonly contradiction: StreamOrigin | null;
}

/** Maximum number of records; beyond it, those reported least recently are dropped. */
const MAX_RECORDS = 20_000;

/** Origins of streams that began at this instance or that others reported to it. */
export class StreamRecords {
  /** In the order in which they were last reported. */
  readonly #kept = new Map<StreamKey, KeptRecord>();

  constructor(private readonly clock: Clock) {}

  /**
   * Adds a record, or extends the time for which a known one is kept.
   *
   * A caller that sends two requests under one id may begin two streams. Their origin is
   * ambiguous then, and neither of them is continued.
   *
   * @returns the age that the stream is known to have, in milliseconds
   */
  add({ provenAgeMs, ...record }: StreamRecord): number {
    const nowMs = this.clock();
    const firstMs = nowMs - provenAgeMs;
    const known = this.#find(record.key);
    const contradiction =
      known &&
      (known.service !== record.service ||
        known.softwareVersion !== record.softwareVersion)
        ? { service: known.service, softwareVersion: known.softwareVersion }
        : (known?.contradiction ?? null);
    this.#kept.delete(record.key);
    const leftMs = known ? known.atMs + known.keepMs - nowMs : 0;
    const kept: KeptRecord = {
      ...record,
      // A caller that states less than before may still return.
      keepMs: Math.max(record.keepMs, leftMs),
      atMs: nowMs,
      firstMs: Math.min(firstMs, known?.firstMs ?? firstMs),
      contradiction,
    };
    this.#kept.set(record.key, kept);
    this.#prune();
    return nowMs - kept.firstMs;
  }

  /** Returns the origin of a stream; null if it is unknown or ambiguous. */
  find(key: StreamKey): KnownOrigin | null {
    const known = this.#find(key);
    if (!known || known.contradiction) {
      return null;
    }
    const { service, softwareVersion, atMs, firstMs } = known;
    const nowMs = this.clock();
    return {
      service,
      softwareVersion,
      ageMs: nowMs - atMs,
      provenAgeMs: nowMs - firstMs,
    };
  }

  /**
   * Returns an origin of a stream other than the one reported last, so that others can be told
   * that it is ambiguous; null if it has one origin, or none is known.
   */
  contradictionOf(key: StreamKey): StreamOrigin | null {
    return this.#find(key)?.contradiction ?? null;
  }

  /** All unambiguous records, with the time for which they are still to be kept. */
  get current(): readonly StreamRecord[] {
    const nowMs = this.clock();
    return [...this.#kept.values()]
      .filter(({ contradiction }) => !contradiction)
      .map(({ key, service, softwareVersion, keepMs, atMs, firstMs }) => ({
        key,
        service,
        softwareVersion,
        keepMs: atMs + keepMs - nowMs,
        provenAgeMs: nowMs - firstMs,
      }))
      .filter(({ keepMs }) => keepMs > 0);
  }

  /** Number of records, expired ones included. */
  get size(): number {
    return this.#kept.size;
  }

  #find(key: StreamKey): KeptRecord | undefined {
    const known = this.#kept.get(key);
    return known && this.#isCurrent(known) ? known : undefined;
  }

  #isCurrent({ atMs, keepMs }: KeptRecord): boolean {
    return this.clock() - atMs <= keepMs;
  }

  /** Drops the oldest records that have expired or exceed the limit. */
  #prune(): void {
    for (const [key, record] of this.#kept) {
      if (this.#kept.size <= MAX_RECORDS && this.#isCurrent(record)) {
        return;
      }
      this.#kept.delete(key);
    }
  }
}
