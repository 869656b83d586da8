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
 * Replaces, adds or removes one entity.
 *
 * @param cfg - configuration before; not changed
 * @param kind - list that the entity belongs to
 * @param id - id of the entity
 * @param after - the entity, or null to remove it
 * @returns the configuration with the same revision
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
    // The order of a table's rows, so that a configuration that was read as a whole and
    // one that followed the changes are the same.
    [list]: after ? [...others, after].sort(byId) : others,
  };
}

function byId(a: Entity, b: Entity): number {
  return a.id < b.id ? -1 : 1;
}

/**
 * Applies the next change of the audit trail.
 *
 * @param cfg - configuration at the revision before
 * @param entry - the change
 * @returns the configuration at the revision of the entry
 */
export function applyAuditEntry(
  cfg: Configuration,
  entry: AuditEntry,
): Configuration {
  const { entityKind, entityId, after, revision } = entry;
  return { ...applyEntity(cfg, entityKind, entityId, after), revision };
}
