import type { BackendServerId, Replica } from '@jujubecroft/types';
import { eraOf } from '@jujubecroft/types';

import { AnnouncedLeaves } from './AnnouncedLeaves.js';
import type { ChangeSelection } from './listChanges.js';
import { changesSince, newestChanges, startOfEra } from './listChanges.js';
import type {
  ReplicaChange,
  ReplicaChanges,
  ReplicaRecord,
  ReplicaRow,
} from './ReplicaRecord.js';
import type { ReplicaRun } from './replicaRuns.js';
import { isEarlierRun, changeKindOf, latestStartMs } from './replicaRuns.js';
import { contradictionOf, isMissingInCopy } from './contradictions.js';
import type { StoreClock } from './StoreClock.js';

/**
 * Number of removed entries that are kept, so that other instances can be told
 * of the removals. Beyond it, the oldest are pruned, and instances that are
 * further behind receive all entries. The planned fleet has fewer than 500
 * removals per day.
 */
const MAX_TOMBSTONES = 500;

/**
 * Time within which writes that a restored store has lost are repeated, in
 * milliseconds.
 */
const REWRITE_MS = 2500;
/**
 * Time for which a removed entry that a restored store lists again is not used,
 * in milliseconds. The removal is repeated by then, or the entry expires.
 */
const REMOVAL_HOLD_MS = 5000;

/** A time on the store's clock that is always in the past. */
const PAST_MS = 0;

/**
 * The replicas of all services, built from their entries in the store.
 *
 * Rows carry the store's version, so the views of several instances can be
 * merged in any order: the newest row of each entry wins, and the view never
 * returns to an earlier state. Versions are combined with the era of the store,
 * so this also holds after it was restored from an older copy; entries of a new
 * era don't undo leaves that were known before.
 */
export class ReplicaRegistry {
  readonly #records = new Map<BackendServerId, ReplicaRecord>();
  /** Records of lapsed entries that may still come back. */
  readonly #lapsed = new Map<BackendServerId, ReplicaRecord>();
  readonly #announcedLeaves: AnnouncedLeaves;
  #version = 0;
  #changedAt = 0;
  #asOfMs = -Infinity;
  /** Store version from which all removals are known. */
  #removalsFrom = 0;
  #lapseGraceUntilMs = -Infinity;
  #unseenRemovals = 0;

  constructor(private readonly storeClock: StoreClock) {
    this.#announcedLeaves = new AnnouncedLeaves(() => storeClock.latestMs);
  }

  /**
   * Store version up to which the view is complete; 0 before the first read.
   */
  get version(): number {
    return this.#version;
  }

  /** Store version of the newest change of any entry. */
  get changedAt(): number {
    return this.#changedAt;
  }

  /**
   * When the view was last current, on the store's clock; negative infinity if
   * never.
   */
  get asOfMs(): number {
    return this.#asOfMs;
  }

  /** Upper bound on the age of the view, in milliseconds. */
  get ageMs(): number {
    return this.storeClock.ageOf(this.#asOfMs);
  }

  /** Number of entries that were removed before their content was known here. */
  get unseenRemovals(): number {
    return this.#unseenRemovals;
  }

  /** All existing replicas, including leaving ones. */
  get replicas(): readonly Replica[] {
    return [...this.#records.values()].flatMap(({ replica }) =>
      replica ? this.#withAnnouncedLeave(replica) : [],
    );
  }

  /**
   * Returns the replica with this id; undefined if its entry is unknown or counts
   * as removed.
   */
  find(id: BackendServerId): Replica | undefined {
    const replica = this.#records.get(id)?.replica;
    return replica ? this.#withAnnouncedLeave(replica) : undefined;
  }

  /** Whether a replica with this id exists; see {@link find}. */
  has(id: BackendServerId): boolean {
    return (this.#records.get(id)?.replica ?? null) !== null;
  }

  /** Returns the store version of the newest row of an entry; 0 for none. */
  rowVersionOf(id: BackendServerId): number {
    return this.#records.get(id)?.rowVersion ?? 0;
  }

  /**
   * Records that a replica announced in an answer that it is leaving.
   *
   * Kept apart from the records, since those are sent to other instances and
   * hold the content that the store has under their version.
   *
   * @param run - the run of the replica that answered
   * @returns whether it is the first announcement of this run
   */
  announceLeave(run: ReplicaRun): boolean {
    return this.#announcedLeaves.add(run);
  }

  /**
   * Treats removals as temporary lapses for a limited time.
   *
   * During an outage of the store, the entries of live replicas expire; they
   * come back within seconds of its return. This shows as a wave of removals
   * right after the outage. Replicas that don't come back in time are dropped
   * by `tick`.
   *
   * @param forMs - time within which live replicas come back, in milliseconds
   */
  beginLapseGracePeriod(forMs: number): void {
    this.#lapseGraceUntilMs = this.storeClock.latestMs + forMs;
  }

  /**
   * Applies rows that the store listed as changed.
   *
   * @param rows - changed entries
   * @param version - store version up to which the view is complete once these
   *   rows are applied
   * @param asOfMs - time on the store's clock when it answered
   * @returns the resulting changes
   */
  applyRows(
    rows: readonly ReplicaRow[],
    version: number,
    asOfMs: number,
  ): readonly ReplicaChange[] {
    if (this.#isEarlierEra(version)) {
      return [];
    }
    const changes = rows.flatMap(row => this.#applyRow(row) ?? []);
    this.#advance(version, asOfMs);
    this.#prune();
    return changes;
  }

  /**
   * Applies a full read of the store. Entries that it doesn't contain were
   * removed.
   *
   * @param rows - all entries
   * @param version - store version of the read
   * @param asOfMs - time on the store's clock when it answered
   * @returns the resulting changes
   */
  applySnapshot(
    rows: readonly ReplicaRow[],
    version: number,
    asOfMs: number,
  ): readonly ReplicaChange[] {
    if (version < this.#version) {
      return [];
    }
    const listed = new Set(rows.map(({ id }) => id));
    const removed = [...this.#records.values()]
      .filter(({ id, goneAtMs }) => !listed.has(id) && goneAtMs === null)
      .map(({ id }) => ({ id, replica: null, rowVersion: version }));
    const changes = this.applyRows([...rows, ...removed], version, asOfMs);
    this.#startHistory(version);
    return changes;
  }

  /**
   * Returns the changes that another instance lacks.
   *
   * @param version - store version that the other instance's view is complete
   *   for
   */
  changesSince(version: number): ReplicaChanges {
    if (version >= Math.max(this.#changedAt, this.#historyFrom, 1)) {
      // Nearly all probes and answers are between instances with the same replicas.
      return this.#withViewVersion({
        complete: false,
        from: version,
        records: [],
      });
    }
    return this.#withViewVersion(
      changesSince(this.#all, version, this.#historyFrom),
    );
  }

  /**
   * Returns the changes that another instance lacks, limited in number.
   *
   * @param version - store version that the other instance's view is complete
   *   for
   * @param limit - largest number of changes to list
   * @returns the changes since that version; only the newest ones if there are
   *   more
   */
  limitedChangesSince(version: number, limit: number): ReplicaChanges {
    const changes = this.changesSince(version);
    return changes.records.length > limit ? this.newestChanges(limit) : changes;
  }

  /**
   * Returns the newest changes, for instances whose views are nearly as new.
   *
   * @param limit - largest number of changes to list
   */
  newestChanges(limit: number): ReplicaChanges {
    return this.#withViewVersion(
      newestChanges(this.#all, limit, this.#historyFrom),
    );
  }

  /** Store version from which all changes are kept. */
  get #historyFrom(): number {
    return Math.max(this.#removalsFrom, startOfEra(this.#version));
  }

  #isEarlierEra(version: number): boolean {
    return eraOf(version) < eraOf(this.#version);
  }

  get #all(): readonly ReplicaRecord[] {
    return [...this.#records.values()];
  }

  #withViewVersion(changes: ChangeSelection): ReplicaChanges {
    return { ...changes, version: this.#version, asOfMs: this.#asOfMs };
  }

  /**
   * Whether changes follow this view without a gap.
   *
   * If changes were merged across a gap, the view would count as complete for a
   * version even though it lacks replicas that left before the oldest of the
   * changes.
   */
  followsWithoutGap({
    complete,
    from,
  }: Pick<ReplicaChanges, 'complete' | 'from'>): boolean {
    return complete || (this.#version > 0 && this.#version >= from);
  }

  /**
   * Merges the changes of another instance. They must follow this view without
   * a gap.
   *
   * @param changes - changes of the other instance
   * @returns the resulting changes
   */
  merge(changes: ReplicaChanges): readonly ReplicaChange[] {
    if (this.#isEarlierEra(changes.version)) {
      return [];
    }
    const merged = changes.records.flatMap(record => this.#mergeRecord(record));
    const dropped = changes.complete ? this.#dropUnlisted(changes) : [];
    this.#advance(changes.version, changes.asOfMs);
    if (changes.complete) {
      this.#startHistory(changes.from);
    }
    return [...merged, ...dropped];
  }

  /**
   * Records that nothing changed up to a later version.
   *
   * @param version - store version that another instance's view is complete for
   * @param asOfMs - when that view was current, on the store's clock
   */
  confirm(version: number, asOfMs: number): void {
    this.#advance(version, asOfMs);
  }

  /**
   * Drops lapsed entries that have not come back in time, and uses those again
   * that were removed before the store was restored and still exist. To be called
   * periodically.
   *
   * @returns the resulting changes
   */
  tick(): readonly ReplicaChange[] {
    const nowMs = this.storeClock.latestMs;
    if (!Number.isFinite(nowMs)) {
      return [];
    }
    const held = this.#announcedLeaves.takeEnded().flatMap(id => {
      const record = this.#records.get(id);
      return record?.replica
        ? [{ kind: 'updated' as const, id, rowVersion: record.rowVersion }]
        : [];
    });
    const lapsed = this.#dueLapses(nowMs).map(record => {
      this.#store({ ...record, replica: null });
      const { id, rowVersion } = record;
      return { kind: 'gone' as const, id, rowVersion };
    });
    return [...lapsed, ...held];
  }

  #dueLapses(nowMs: number): readonly ReplicaRecord[] {
    return [...this.#lapsed.values()].filter(
      ({ goneAtMs }) => goneAtMs !== null && goneAtMs <= nowMs,
    );
  }

  #withAnnouncedLeave(replica: Replica): Replica {
    return this.#announcedLeaves.has(replica)
      ? { ...replica, leaving: true }
      : replica;
  }

  #applyRow(row: ReplicaRow): ReplicaChange | null {
    const before = this.#records.get(row.id);
    if (before && row.rowVersion <= before.rowVersion) {
      return null;
    }
    return row.replica
      ? this.#put(row, row.replica, before)
      : this.#remove(row, before);
  }

  /**
   * Applies an entry, unless it belongs to an earlier run.
   *
   * The store may apply the last report of a crashed run seconds later, after
   * the first report of the next run. Applied here, it would make a replica
   * that has just started look as if it were leaving or had another address.
   */
  #put(
    row: ReplicaRow,
    replica: Replica,
    before: ReplicaRecord | undefined,
  ): ReplicaChange | null {
    const { id, rowVersion } = row;
    if (before && isEarlierRun(replica, before)) {
      this.#store({ ...before, rowVersion });
      return null;
    }
    this.#keepEarlierLeave(before, replica, rowVersion);
    const bornMs = latestStartMs(replica, before);
    const known = { ...replica, bornMs };
    const kind = changeKindOf(before, known);
    const changedAt = kind ? rowVersion : (before?.changedAt ?? rowVersion);
    this.#store({
      id,
      rowVersion,
      changedAt,
      bornMs,
      replica: known,
      goneAtMs: null,
    });
    return kind && { kind, id, rowVersion };
  }

  /** Keeps a leave that a newer entry of the same run doesn't state. */
  #keepEarlierLeave(
    before: ReplicaRecord | undefined,
    replica: Replica,
    rowVersion: number,
  ): void {
    const contradiction =
      before && contradictionOf(before, replica, rowVersion);
    if (contradiction === 'leaving') {
      this.#announcedLeaves.add(replica);
    }
    if (contradiction === 'removed') {
      const untilMs = this.storeClock.latestMs + REMOVAL_HOLD_MS;
      this.#announcedLeaves.add(replica, untilMs);
    }
  }

  #remove(
    { id, rowVersion }: ReplicaRow,
    before: ReplicaRecord | undefined,
  ): ReplicaChange | null {
    this.#unseenRemovals += before ? 0 : 1;
    const nowMs = this.storeClock.latestMs;
    const graceUntilMs =
      before && isMissingInCopy(before, rowVersion)
        ? nowMs + REWRITE_MS
        : this.#lapseGraceUntilMs;
    const mayComeBack =
      before?.replica?.leaving === false && nowMs < graceUntilMs;
    this.#store({
      id,
      rowVersion,
      changedAt: rowVersion,
      bornMs: before?.bornMs ?? null,
      replica: mayComeBack ? before.replica : null,
      goneAtMs: mayComeBack ? graceUntilMs : PAST_MS,
    });
    if (!before?.replica) {
      return null;
    }
    return { kind: mayComeBack ? 'lapsed' : 'gone', id, rowVersion };
  }

  #mergeRecord(record: ReplicaRecord): readonly ReplicaChange[] {
    const before = this.#records.get(record.id);
    if (before && record.rowVersion <= before.rowVersion) {
      return [];
    }
    const { id, rowVersion, replica } = record;
    if (before && replica && isEarlierRun(replica, before)) {
      this.#store({ ...before, rowVersion });
      return [];
    }
    if (replica) {
      this.#keepEarlierLeave(before, replica, rowVersion);
    }
    this.#store({ ...record, bornMs: latestStartMs(record, before) });
    this.#unseenRemovals += before || replica ? 0 : 1;
    if (!replica) {
      return before?.replica ? [{ kind: 'gone', id, rowVersion }] : [];
    }
    const kind =
      record.goneAtMs === null ? changeKindOf(before, replica) : 'lapsed';
    return kind ? [{ kind, id, rowVersion }] : [];
  }

  #dropUnlisted({
    records,
    version,
  }: ReplicaChanges): readonly ReplicaChange[] {
    const listed = new Set(records.map(({ id }) => id));
    const unlisted = [...this.#records.values()].filter(
      record =>
        record.replica !== null &&
        record.rowVersion <= version &&
        !listed.has(record.id),
    );
    return unlisted.flatMap(
      ({ id }) =>
        this.#remove(
          { id, replica: null, rowVersion: version },
          this.#records.get(id),
        ) ?? [],
    );
  }

  #store(record: ReplicaRecord): void {
    this.#records.set(record.id, record);
    this.#changedAt = Math.max(this.#changedAt, record.changedAt);
    if (record.replica !== null && record.goneAtMs !== null) {
      this.#lapsed.set(record.id, record);
    } else {
      this.#lapsed.delete(record.id);
    }
  }

  #advance(version: number, asOfMs: number): void {
    if (version < this.#version) {
      return;
    }
    this.#version = version;
    // Views of an earlier era are never as recent, even if nothing has changed.
    this.#changedAt = Math.max(this.#changedAt, startOfEra(version));
    this.#asOfMs = Math.max(this.#asOfMs, asOfMs);
  }

  /**
   * Limits the known history to changes after a version, since the entries were taken
   * over as a whole. Those that were removed before may never have been known here.
   */
  #startHistory(version: number): void {
    this.#removalsFrom = Math.max(this.#removalsFrom, version);
    // Views before that version must not count as unchanged.
    this.#changedAt = Math.max(this.#changedAt, version);
  }

  #prune(): void {
    const removed = [...this.#records.values()].filter(
      ({ replica }) => replica === null,
    );
    if (removed.length <= MAX_TOMBSTONES) {
      return;
    }
    removed
      .sort((a, b) => a.changedAt - b.changedAt)
      .slice(0, removed.length - MAX_TOMBSTONES)
      .forEach(({ id, changedAt }) => {
        this.#records.delete(id);
        this.#removalsFrom = Math.max(this.#removalsFrom, changedAt);
      });
  }
}
