import { ProtoEntityKind } from '@jujubecroft/operator';
import { routerError } from '@jujubecroft/types';

/** Entity kinds by their names on the command line. */
export const ENTITY_KINDS: Readonly<Record<string, ProtoEntityKind>> = {
  all: ProtoEntityKind.ENTITY_KIND_UNSPECIFIED,
  organisation: ProtoEntityKind.ENTITY_KIND_ORGANISATION,
  'request-class': ProtoEntityKind.ENTITY_KIND_REQUEST_CLASS,
  'model-version': ProtoEntityKind.ENTITY_KIND_MODEL_VERSION,
  'backend-server': ProtoEntityKind.ENTITY_KIND_BACKEND_SERVER,
};

/**
 * Parses the name of an entity kind.
 *
 * @param name - name from the command line
 * @returns the kind
 * @throws RouterError `configInvalid`, which lists the valid names
 */
export function parseEntityKind(name: string): ProtoEntityKind {
  const kind = ENTITY_KINDS[name];
  if (kind === undefined) {
    const names = Object.keys(ENTITY_KINDS).join(', ');
    throw routerError(
      'configInvalid',
      `unknown entity kind "${name}"; expected one of ${names}`,
    );
  }
  return kind;
}
