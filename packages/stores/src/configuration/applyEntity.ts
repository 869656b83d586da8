import type {
  AuditEntry,
  Configuration,
  Entity,
  EntityKind,
} from '@jujubecroft/types';

const LIST_OF = {
  organisation: 'organisations',
  requestClass: 'requestClasses',
  modelVersion: 'modelVersions',
  backendServer: 'backendServers',
} as const satisfies Record<EntityKind, keyof Configuration>;

/**
 * Adds, replaces or removes one entity.
 *
 * @param cfg - the configuration, which is not modified
 * @param kind - kind of the entity
 * @param id - id of the entity
 * @param after - the entity, or null to remove it
 * @returns the new configuration, with the same revision
 */
export function applyEntity(
  cfg: Configuration,
  kind: EntityKind,
  id: string,
  after: Entity | null,
): Configuration {
  const list = LIST_OF[kind];
  const others = (cfg[list] as readonly Entity[]).filter(
    entity => entity.id !== id,
  );
  return {
    ...cfg,
    // Sorted like the rows of the table, so that a configuration that was read as a
    // whole equals one that was updated change by change.
    [list]: after ? [...others, after].sort(byId) : others,
  };
}

function byId(a: Entity, b: Entity): number {
  return a.id < b.id ? -1 : 1;
}

/**
 * Applies the next entry of the audit trail.
 *
 * @param cfg - the configuration at the previous revision
 * @param entry - the audit entry
 * @returns the configuration at the revision of the entry
 */
export function applyAuditEntry(
  cfg: Configuration,
  entry: AuditEntry,
): Configuration {
  const { entityKind, entityId, after, revision } = entry;
  return { ...applyEntity(cfg, entityKind, entityId, after), revision };
}
