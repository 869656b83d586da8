import { randomUUID } from 'node:crypto';
import { Command, Option } from 'clipanion';
import type { OperatorConnection } from '@jujubecroft/operator';
import {
  applyDeployment,
  fromProtoKind,
  toProtoEntity,
} from '@jujubecroft/operator';
import { parseEntity, readSettings } from '@jujubecroft/settings';
import { routerError } from '@jujubecroft/types';

import { parseEntityKind } from '../entityKinds.js';
import { OperatorCommand } from './OperatorCommand.js';

const CHANGE_ID_OPTION = {
  description:
    'id of the change; a repeat with the same id is not applied again',
};

/** Declares every entity of a deployment file. */
export class CtlApplyCommand extends OperatorCommand {
  static override paths = [['ctl', 'apply']];
  static override usage = Command.Usage({
    description: 'create or update every entity of a deployment file',
    examples: [['Apply a file', '$0 ctl apply deployment.jsonc']],
  });

  readonly file = Option.String({ name: 'file' });

  protected async run(connection: OperatorConnection): Promise<void> {
    const deployment = readSettings(this.file, 'deployment');
    const revision = await applyDeployment(connection, deployment);
    this.print({ revision }, [`revision ${revision}`]);
  }
}

/** Declares one entity. */
export class CtlDeclareCommand extends OperatorCommand {
  static override paths = [['ctl', 'declare']];
  static override usage = Command.Usage({
    description:
      'create an entity, or update it if it is still at the given revision',
    examples: [
      [
        'Create a model version',
        `$0 ctl declare model-version '{"id":"chef-small","version":"1"}'`,
      ],
    ],
  });

  readonly kind = Option.String({ name: 'kind' });
  readonly entity = Option.String({ name: 'json' });
  readonly seen = Option.String('--seen', '0', {
    description:
      'revision that `ctl list` shows for the entity; 0 to create it',
  });
  readonly changeId = Option.String('--change-id', CHANGE_ID_OPTION);

  protected async run(connection: OperatorConnection): Promise<void> {
    const kind = fromProtoKind(parseEntityKind(this.kind));
    if (!kind) {
      throw routerError(
        'configInvalid',
        'the kind must be that of a single entity, not "all"',
      );
    }
    const result = parseEntity(kind, JSON.parse(this.entity));
    if (!result.ok) {
      throw routerError('configInvalid', result.faults.join('; '));
    }
    const reply = await connection.declare({
      changeId: this.changeId ?? randomUUID(),
      entity: toProtoEntity(kind, { ...result.entity }),
      ifRevision: Number(this.seen),
    });
    this.print(reply, [`revision ${reply.revision}`]);
  }
}

/** Removes one entity. */
export class CtlRemoveCommand extends OperatorCommand {
  static override paths = [['ctl', 'remove']];
  static override usage = Command.Usage({
    description: 'remove an entity if it is still at the given revision',
    examples: [['Remove', '$0 ctl remove organisation pekara-zora --seen 12']],
  });

  readonly kind = Option.String({ name: 'kind' });
  readonly id = Option.String({ name: 'id' });
  readonly seen = Option.String('--seen', {
    required: true,
    description: 'revision that `ctl list` shows for the entity',
  });
  readonly changeId = Option.String('--change-id', CHANGE_ID_OPTION);

  protected async run(connection: OperatorConnection): Promise<void> {
    const reply = await connection.remove({
      changeId: this.changeId ?? randomUUID(),
      kind: parseEntityKind(this.kind),
      id: this.id,
      ifRevision: Number(this.seen),
    });
    this.print(reply, [`revision ${reply.revision}`]);
  }
}

/** Marks a backend server as leaving, or undoes that. */
export class CtlDrainCommand extends OperatorCommand {
  static override paths = [['ctl', 'drain']];
  static override usage = Command.Usage({
    description: 'send no new requests to a backend server',
    examples: [
      ['Drain', '$0 ctl drain engine-3'],
      ['Undo', '$0 ctl drain engine-3 --undo'],
    ],
  });

  readonly id = Option.String({ name: 'backend-server' });
  readonly undo = Option.Boolean('--undo', false);
  readonly changeId = Option.String('--change-id', CHANGE_ID_OPTION);

  protected async run(connection: OperatorConnection): Promise<void> {
    const reply = await connection.drain({
      changeId: this.changeId ?? randomUUID(),
      backendServer: this.id,
      leaving: !this.undo,
    });
    this.print(reply, [`revision ${reply.revision}`]);
  }
}
