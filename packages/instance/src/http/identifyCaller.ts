import { createHash } from 'node:crypto';
import type { FastifyRequest } from 'fastify';
import type { DeclaredEntities } from '@jujubecroft/decisions';
import type {
  ClassId,
  IdempotencyKey,
  Organisation,
  RequestClass,
} from '@jujubecroft/types';
import { brand, routerError } from '@jujubecroft/types';

/**
 * Organisation and request class of a call, and how repeats of it are handled.
 */
export interface Caller {
  readonly organisation: Organisation;
  readonly requestClass: RequestClass;
  readonly idempotencyKey: IdempotencyKey | null;
  readonly idempotent: boolean;
}

const BEARER = /^Bearer (.+)$/i;
const MAX_KEY_LENGTH = 128;
const KEY_PATTERN = /^[\x21-\x7e]+$/;

function header(req: FastifyRequest, name: string): string | undefined {
  const value = req.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

function organisationOf(
  req: FastifyRequest,
  declared: DeclaredEntities,
): Organisation {
  const key = BEARER.exec(header(req, 'authorization') ?? '')?.[1];
  const hash = createHash('sha256')
    .update(key ?? '')
    .digest('hex');
  const found = declared.organisationsByKey.get(hash);
  if (key === undefined || !found) {
    throw routerError(
      'unknownOrganisation',
      'The organisation key is missing or not declared.',
    );
  }
  return found;
}

function classOf(
  req: FastifyRequest,
  declared: DeclaredEntities,
): RequestClass {
  const id = brand<ClassId>(header(req, 'x-request-class') ?? '');
  const found = declared.requestClasses.get(id);
  if (!found) {
    throw routerError(
      'unknownClass',
      `No request class "${id}" is declared; set x-request-class.`,
    );
  }
  return found;
}

function idempotencyKeyOf(req: FastifyRequest): IdempotencyKey | null {
  const key = header(req, 'idempotency-key');
  if (key === undefined) {
    return null;
  }
  if (key.length > MAX_KEY_LENGTH || !KEY_PATTERN.test(key)) {
    throw routerError(
      'headerOutOfRange',
      `idempotency-key must be 1 to ${MAX_KEY_LENGTH} visible characters.`,
    );
  }
  return brand<IdempotencyKey>(key);
}

/**
 * The header can mark a call as non-idempotent, but not override a
 * non-idempotent class.
 */
function idempotentOf(
  req: FastifyRequest,
  requestClass: RequestClass,
): boolean {
  const value = header(req, 'x-idempotent');
  if (value === undefined) {
    return requestClass.idempotent;
  }
  if (value !== 'true' && value !== 'false') {
    throw routerError(
      'headerOutOfRange',
      'x-idempotent must be "true" or "false".',
    );
  }
  return requestClass.idempotent && value === 'true';
}

/**
 * Authenticates a call and validates its headers.
 *
 * @param req - the HTTP request
 * @param declared - entities of the current configuration
 * @returns the caller
 * @throws RouterError `unknownOrganisation`, `unknownClass` or
 *   `headerOutOfRange`
 */
export function identifyCaller(
  req: FastifyRequest,
  declared: DeclaredEntities,
): Caller {
  const organisation = organisationOf(req, declared);
  const requestClass = classOf(req, declared);
  return {
    organisation,
    requestClass,
    idempotencyKey: idempotencyKeyOf(req),
    idempotent: idempotentOf(req, requestClass),
  };
}
