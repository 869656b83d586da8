import type {
  AuditEntry,
  Configuration,
  Entity,
  EntityKind,
} from '@jujubecroft/types';
import { EMPTY_CONFIGURATION, routerError } from '@jujubecroft/types';

import type { ObjectStore } from '../ports/ObjectStore.js';
import type { Row, TableStore } from '../ports/TableStore.js';
import { applyAuditEntry, applyEntity } from './applyEntity.js';
import {
  AUDIT_PREFIX,
  ENTITY_PREFIX,
  HEAD_KEY,
  SNAPSHOT_NAME,
  auditKey,
  changeKey,
  entityKey,
} from './configurationKeys.js';

/** A change that an operator requests. */
export interface ChangeRequest {
  /** Chosen by the operator; a change with an id that was accepted before is not applied again. */
  readonly changeId: string;
  readonly operator: string;
  readonly atMs: number;
  readonly action: AuditEntry['action'];
  readonly kind: EntityKind;
  readonly id: string;
  /**
   * Computes the new entity from the current one; null removes it.
   *
   * @throws RouterError when the change cannot be applied to the current entity
   */
  readonly change: (before: Entity | null) => Entity | null;
  /** Revision of the entity that the operator has seen; 0 for none, null to skip the check. */
  readonly ifRevision: number | null;
}

/** Result of a committed change. */
export interface ChangeOutcome {
  /** Revision that contains the change. */
  readonly revision: number;
  /** Whether the change had been committed by an earlier call. */
  readonly repeated: boolean;
}

/** The content of an entity row: the entity, null once removed, and the revision of its last change. */
export interface StoredEntity {
  readonly entity: Entity | null;
  readonly revision: number;
}

interface Head {
  readonly revision: number;
}

/** Retries of a commit that lost the race for the head row. */
const MAX_COMMIT_RETRIES = 8;
/** Number of changes above which all entities are loaded anew instead. */
const MAX_AUDIT_BATCH = 500;

const revisionOf = (head: Row | null): number =>
  head ? (head.value as Head).revision : 0;

/**
 * Stores the declared configuration in the platform's table.
 *
 * Each change is one transaction that writes the entity, its audit entry, the change
 * id and the head row. The version of the head row orders all changes, so each
 * revision is exactly one change and the audit trail is the complete history.
 */
export class ConfigurationStore {
  constructor(
    private readonly table: TableStore,
    private readonly objects: ObjectStore,
  ) {}

  /**
   * Commits one change.
   *
   * @param req - the change
   * @returns the revision that contains it
   * @throws RouterError `changeConflict` when another change came first;
   *   `platformUnavailable` when it is unknown whether the change was accepted, in
   *   which case it can be repeated safely with the same change id
   */
  async commit(req: ChangeRequest): Promise<ChangeOutcome> {
    return this.#commit(req, MAX_COMMIT_RETRIES);
  }

  async headRevision(): Promise<number> {
    return revisionOf(await this.table.get(HEAD_KEY));
  }

  /**
   * Reads the audit trail.
   *
   * @param afterRevision - returns only entries after this revision
   * @param limit - maximum number of entries
   * @returns the entries, oldest first
   */
  async audit(
    afterRevision: number,
    limit: number,
  ): Promise<readonly AuditEntry[]> {
    const rows = await this.table.scan({
      prefix: AUDIT_PREFIX,
      after: auditKey(afterRevision),
      limit,
    });
    return rows.map(({ value }) => value as AuditEntry);
  }

  /**
   * Brings a configuration up to date.
   *
   * @param cfg - the last known configuration
   * @returns the current configuration; the same object when nothing has changed
   */
  async update(cfg: Configuration): Promise<Configuration> {
    const head = await this.headRevision();
    if (head <= cfg.revision) {
      return cfg;
    }
    if (cfg.revision === 0 || head - cfg.revision > MAX_AUDIT_BATCH) {
      return this.#loadAll();
    }
    const entries = await this.audit(cfg.revision, MAX_AUDIT_BATCH);
    return entries.reduce(applyAuditEntry, cfg);
  }

  async readEntity(kind: EntityKind, id: string): Promise<StoredEntity> {
    const row = await this.table.get(entityKey(kind, id));
    return (row?.value ?? { entity: null, revision: 0 }) as StoredEntity;
  }

  async readSnapshot(): Promise<Configuration | null> {
    const body = await this.objects.read(SNAPSHOT_NAME);
    return body === null ? null : (JSON.parse(body) as Configuration);
  }

  async writeSnapshot(cfg: Configuration): Promise<void> {
    await this.objects.write(SNAPSHOT_NAME, JSON.stringify(cfg));
  }

  async #commit(
    req: ChangeRequest,
    retriesLeft: number,
  ): Promise<ChangeOutcome> {
    const accepted = await this.table.get(changeKey(req.changeId));
    if (accepted) {
      return { revision: (accepted.value as Head).revision, repeated: true };
    }
    const head = await this.table.get(HEAD_KEY);
    const stored = await this.readEntity(req.kind, req.id);
    this.#checkRevision(req, stored);
    const entry = this.#entryOf(req, stored, revisionOf(head) + 1);
    const result = await this.#write(entry, head);
    if (result) {
      return { revision: entry.revision, repeated: false };
    }
    if (retriesLeft === 0) {
      throw routerError('changeConflict', 'Too many changes at once.');
    }
    return this.#commit(req, retriesLeft - 1);
  }

  #checkRevision(req: ChangeRequest, stored: StoredEntity): void {
    const current = stored.entity === null ? 0 : stored.revision;
    if (req.ifRevision === null || req.ifRevision === current) {
      return;
    }
    throw routerError(
      'changeConflict',
      `${req.kind} ${req.id} is at revision ${current}, not ${req.ifRevision}: ${JSON.stringify(stored.entity)}`,
    );
  }

  #entryOf(
    req: ChangeRequest,
    stored: StoredEntity,
    revision: number,
  ): AuditEntry {
    return {
      revision,
      changeId: req.changeId,
      operator: req.operator,
      atMs: req.atMs,
      action: req.action,
      entityKind: req.kind,
      entityId: req.id,
      before: stored.entity,
      after: req.change(stored.entity),
    };
  }

  /** @returns false when another change was committed first */
  async #write(entry: AuditEntry, head: Row | null): Promise<boolean> {
    const { revision } = entry;
    const stored: StoredEntity = { entity: entry.after, revision };
    const result = await this.table.transact([
      { key: HEAD_KEY, value: { revision }, ifVersion: head?.version ?? 0 },
      { key: entityKey(entry.entityKind, entry.entityId), value: stored },
      { key: auditKey(revision), value: entry, ifVersion: 0 },
      { key: changeKey(entry.changeId), value: { revision }, ifVersion: 0 },
    ]);
    return result.ok;
  }

  /** Reads all entities; starts over when a change is committed meanwhile. */
  async #loadAll(): Promise<Configuration> {
    const revision = await this.headRevision();
    const rows = await this.table.scan({ prefix: ENTITY_PREFIX });
    if ((await this.headRevision()) !== revision) {
      return this.#loadAll();
    }
    return rows
      .map(({ value }) => (value as StoredEntity).entity)
      .filter(entity => entity !== null)
      .reduce<Configuration>(
        (cfg, entity) => applyEntity(cfg, entity.kind, entity.id, entity),
        { ...EMPTY_CONFIGURATION, revision },
      );
  }
}
