import type { proto } from '@jujubecroft/operator';
import { fromProtoEntity, fromProtoKind } from '@jujubecroft/operator';
import type { ChangeRequest } from '@jujubecroft/stores';
import { parseEntity } from '@jujubecroft/settings';
import type { Entity, EntityKind } from '@jujubecroft/types';
import { routerError } from '@jujubecroft/types';

import type { InstanceContext } from '../InstanceContext.js';

const MAX_CHANGE_ID_LENGTH = 128;

function validateChangeId(changeId: string): string {
  if (changeId === '' || changeId.length > MAX_CHANGE_ID_LENGTH) {
    throw routerError(
      'configInvalid',
      `change_id must have 1 to ${MAX_CHANGE_ID_LENGTH} characters.`,
    );
  }
  return changeId;
}

function validateEntity(message: proto.Entity | undefined): Entity {
  const raw = fromProtoEntity(message);
  if (!raw) {
    throw routerError('configInvalid', 'entity is missing.');
  }
  const result = parseEntity(raw.kind, raw.value);
  if (!result.ok) {
    throw routerError('configInvalid', result.faults.join('; '));
  }
  return result.entity;
}

function validateKind(kind: proto.EntityKind): EntityKind {
  const entityKind = fromProtoKind(kind);
  if (!entityKind) {
    throw routerError('configInvalid', 'kind is missing.');
  }
  return entityKind;
}

/** Validates configuration changes of operators and commits them. */
export class OperatorChanges {
  constructor(private readonly context: InstanceContext) {}

  declare(
    operator: string,
    req: proto.DeclareRequest,
  ): Promise<proto.ChangeReply> {
    const entity = validateEntity(req.entity);
    return this.#commit({
      changeId: validateChangeId(req.changeId),
      operator,
      atMs: Date.now(),
      action: 'declare',
      kind: entity.kind,
      id: entity.id,
      ifRevision: req.ifRevision,
      change: () => entity,
    });
  }

  remove(
    operator: string,
    req: proto.RemoveRequest,
  ): Promise<proto.ChangeReply> {
    const kind = validateKind(req.kind);
    return this.#commit({
      changeId: validateChangeId(req.changeId),
      operator,
      atMs: Date.now(),
      action: 'remove',
      kind,
      id: req.id,
      ifRevision: req.ifRevision,
      change: before => {
        if (!before) {
          throw routerError('entityNotFound', `No ${kind} "${req.id}".`);
        }
        return null;
      },
    });
  }

  /**
   * Drains a backend server or undoes it, at whatever revision the server is.
   */
  drain(operator: string, req: proto.DrainRequest): Promise<proto.ChangeReply> {
    return this.#commit({
      changeId: validateChangeId(req.changeId),
      operator,
      atMs: Date.now(),
      action: 'drain',
      kind: 'backendServer',
      id: req.backendServer,
      ifRevision: null,
      change: before => {
        if (before?.kind !== 'backendServer') {
          throw routerError(
            'entityNotFound',
            `No backend server "${req.backendServer}".`,
          );
        }
        return { ...before, leaving: req.leaving };
      },
    });
  }

  async #commit(req: ChangeRequest): Promise<proto.ChangeReply> {
    const outcome = await this.context.store.commit(req);
    const { changeId, operator, action, kind, id } = req;
    this.context.log.write('changeAccepted', {
      changeId,
      operator,
      action,
      kind,
      entity: id,
      ...outcome,
    });
    await this.context.sync.refresh();
    void this.context.sync.writeSnapshot();
    return outcome;
  }
}
