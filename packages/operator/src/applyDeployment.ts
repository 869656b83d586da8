import { randomUUID } from 'node:crypto';
import type { EntityKind } from '@jujubecroft/types';

import { toProtoEntity } from './entityMessages.js';
import type * as proto from './generated/jujubecroft.js';
import { EntityKind as ProtoKind } from './generated/jujubecroft.js';
import type { OperatorConnection } from './OperatorConnection.js';

type Fields = Readonly<Record<string, unknown>> & { readonly id: string };

/** Entities of a deployment file, by kind. */
export interface DeploymentEntities {
  readonly modelVersions: readonly Fields[];
  readonly requestClasses: readonly Fields[];
  readonly organisations: readonly Fields[];
  readonly backendServers: readonly Fields[];
}

interface Declaration {
  readonly kind: EntityKind;
  readonly fields: Fields;
}

/** Servers come last, so that nothing is routed before the rest is known. */
function inOrder(deployment: DeploymentEntities): readonly Declaration[] {
  const of = (
    kind: EntityKind,
    entities: readonly Fields[],
  ): readonly Declaration[] => entities.map(fields => ({ kind, fields }));
  return [
    ...of('modelVersion', deployment.modelVersions),
    ...of('requestClass', deployment.requestClasses),
    ...of('organisation', deployment.organisations),
    ...of('backendServer', deployment.backendServers),
  ];
}

const entityId = (entity: proto.Entity | undefined): string => {
  switch (entity?.value?.$case) {
    case 'organisation':
      return `organisation/${entity.value.organisation.id}`;
    case 'requestClass':
      return `requestClass/${entity.value.requestClass.id}`;
    case 'modelVersion':
      return `modelVersion/${entity.value.modelVersion.id}`;
    case 'backendServer':
      return `backendServer/${entity.value.backendServer.id}`;
    case undefined:
      return '';
  }
};

/**
 * Declares every entity of a deployment, new or changed.
 *
 * @param connection - to any instance
 * @param deployment - entities from a checked settings file
 * @returns revision after the last change
 * @throws ServiceError of the first change that was refused
 */
export async function applyDeployment(
  connection: OperatorConnection,
  deployment: DeploymentEntities,
): Promise<number> {
  const listed = await connection.list(ProtoKind.ENTITY_KIND_UNSPECIFIED);
  const known = new Map(
    listed.entities.map(({ entity, revision }) => [entityId(entity), revision]),
  );
  let last = listed.revision;
  for (const { kind, fields } of inOrder(deployment)) {
    const reply = await connection.declare({
      changeId: randomUUID(),
      entity: toProtoEntity(kind, fields),
      ifRevision: known.get(`${kind}/${fields.id}`) ?? 0,
    });
    last = reply.revision;
  }
  return last;
}
