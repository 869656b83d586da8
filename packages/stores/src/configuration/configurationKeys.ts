import type { EntityKind } from '@jujubecroft/types';

const REVISION_DIGITS = 12;

/** Key of the row whose version orders all changes. */
export const HEAD_KEY = 'config/head';
export const ENTITY_PREFIX = 'config/entity/';
export const AUDIT_PREFIX = 'audit/';
/** Name of the snapshot in the object store. */
export const SNAPSHOT_NAME = 'configuration-snapshot.json';

export const entityKey = (kind: EntityKind, id: string): string =>
  `${ENTITY_PREFIX}${kind}/${id}`;

/** @returns the key of an audit entry, padded so that keys sort by revision */
export const auditKey = (revision: number): string =>
  `${AUDIT_PREFIX}${String(revision).padStart(REVISION_DIGITS, '0')}`;

export const changeKey = (changeId: string): string => `change/${changeId}`;
