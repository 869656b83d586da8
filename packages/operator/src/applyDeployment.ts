import { randomUUID } from 'node:crypto';
import type { EntityKind } from '@jujubecroft/types';

import { toProtoEntity } from './entityMessages.js';
import type * as proto from './generated/jujubecroft.js';
import { EntityKind as ProtoKind } from './generated/jujubecroft.js';
import type { OperatorConnection } from './OperatorConnection.js';

type Fields = Readonly<Record<string, unknown>> & { readonly id: string };

/** Entities of a deployment file, grouped by kind. */
export interface DeploymentEntities {
  readonly modelVersions: readonly Fields[];
  readonly requestClasses: readonly Fields[];
  readonly organisations: readonly Fields[];
  readonly backendServers: readonly Fields[];
}

/** An entity to declare. */
interface Declaration {
  readonly kind: EntityKind;
  readonly fields: Fields;
}

/** Lists backend servers last, so that no request is routed before the rest is declared. */
function declarationsInOrder(
  deployment: DeploymentEntities,
): readonly Declaration[] {
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

/** @returns kind and id of an entity; empty where the message holds none */
const entityKeyOf = (entity: proto.Entity | undefined): string => {
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
 * @param connection - connection to any instance
 * @param deployment - entities from a validated settings file
 * @returns the revision after the last change
 * @throws ServiceError of the first change that was refused; the changes before it
 *   stay in force
 */
export async function applyDeployment(
  connection: OperatorConnection,
  deployment: DeploymentEntities,
): Promise<number> {
  const listed = await connection.list(ProtoKind.ENTITY_KIND_UNSPECIFIED);
  const known = new Map(
    listed.entities.map(({ entity, revision }) => [
      entityKeyOf(entity),
      revision,
    ]),
  );
  let last = listed.revision;
  for (const { kind, fields } of declarationsInOrder(deployment)) {
    const reply = await connection.declare({
      changeId: randomUUID(),
      entity: toProtoEntity(kind, fields),
      ifRevision: known.get(`${kind}/${fields.id}`) ?? 0,
    });
    last = reply.revision;
  }
  return last;
}
