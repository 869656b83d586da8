import { createHash } from 'node:crypto';
import type { Metadata } from '@grpc/grpc-js';
import type { InstanceSettings } from '@jujubecroft/settings';
import { routerError } from '@jujubecroft/types';

const BEARER = /^Bearer (.+)$/i;

/**
 * Authenticates an operator by the bearer token of a call.
 *
 * @param metadata - metadata of the call
 * @param operators - operators from the settings
 * @returns the operator's name, for the audit trail
 * @throws RouterError `operatorUnknown` if no operator has this token
 */
export function authenticate(
  metadata: Metadata,
  operators: InstanceSettings['operators'],
): string {
  const [value] = metadata.get('authorization');
  const token = BEARER.exec(String(value ?? ''))?.[1] ?? '';
  const hash = createHash('sha256').update(token).digest('hex');
  const found = operators.find(({ tokenSha256 }) => tokenSha256 === hash);
  if (!found) {
    throw routerError('operatorUnknown', 'The operator token is not known.');
  }
  return found.name;
}
