import type { EntityKind } from '@jujubecroft/types';

import type * as proto from './generated/jujubecroft.js';
import { EntityKind as ProtoKind } from './generated/jujubecroft.js';

/** An entity without branded ids, in the shape that the settings schema expects. */
export interface RawEntity {
  readonly kind: EntityKind;
  readonly value: object;
}

const PROTO_KIND = {
  organisation: ProtoKind.ENTITY_KIND_ORGANISATION,
  requestClass: ProtoKind.ENTITY_KIND_REQUEST_CLASS,
  modelVersion: ProtoKind.ENTITY_KIND_MODEL_VERSION,
  backendServer: ProtoKind.ENTITY_KIND_BACKEND_SERVER,
} as const satisfies Record<EntityKind, ProtoKind>;

/** @returns the kind as in a message */
export const toProtoKind = (kind: EntityKind): ProtoKind => PROTO_KIND[kind];

/** @returns the kind; undefined when it is unspecified or unknown */
export function fromProtoKind(kind: ProtoKind): EntityKind | undefined {
  return (Object.keys(PROTO_KIND) as EntityKind[]).find(
    name => PROTO_KIND[name] === kind,
  );
}

/**
 * Converts an entity message to the shape of the settings schema.
 *
 * @param message - the message from an operator call
 * @returns the entity, not validated; undefined when the message holds none
 */
export function fromProtoEntity(
  message: proto.Entity | undefined,
): RawEntity | undefined {
  const value = message?.value;
  switch (value?.$case) {
    case undefined:
      return undefined;
    case 'organisation': {
      const { requestsPerSecond, tokensPerSecond, ...rest } =
        value.organisation;
      const limits = { requestsPerSecond, tokensPerSecond };
      return { kind: 'organisation', value: { ...rest, limits } };
    }
    case 'requestClass':
      return { kind: 'requestClass', value: value.requestClass };
    case 'modelVersion':
      return { kind: 'modelVersion', value: value.modelVersion };
    case 'backendServer':
      return { kind: 'backendServer', value: value.backendServer };
  }
}

/** Fields of an entity from a settings file or from the configuration in force. */
type EntityFields = Readonly<Record<string, unknown>>;

/**
 * Converts an entity to its message.
 *
 * @param kind - kind of the entity
 * @param fields - fields of the entity, with or without `kind`
 * @returns the message
 */
export function toProtoEntity(
  kind: EntityKind,
  fields: EntityFields,
): proto.Entity {
  switch (kind) {
    case 'organisation': {
      const { limits, ...rest } = fields;
      const organisation = {
        ...rest,
        ...(limits as object),
      } as unknown as proto.Organisation;
      return { value: { $case: 'organisation', organisation } };
    }
    case 'requestClass': {
      const requestClass = fields as unknown as proto.RequestClass;
      return { value: { $case: 'requestClass', requestClass } };
    }
    case 'modelVersion': {
      const modelVersion = fields as unknown as proto.ModelVersion;
      return { value: { $case: 'modelVersion', modelVersion } };
    }
    case 'backendServer': {
      const backendServer = fields as unknown as proto.BackendServer;
      return { value: { $case: 'backendServer', backendServer } };
    }
  }
}
