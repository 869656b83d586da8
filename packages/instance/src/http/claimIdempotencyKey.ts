import type { FastifyReply } from 'fastify';
import type { RequestId } from '@jujubecroft/types';
import { routerError } from '@jujubecroft/types';

import type { StoredReply } from '../claims/ClaimStore.js';
import type { InstanceContext } from '../InstanceContext.js';
import type { Caller } from './identifyCaller.js';

const RETRY_AFTER_MS = 2000;

function sendStoredReply(reply: FastifyReply, stored: StoredReply): void {
  void reply
    .code(stored.status)
    .headers({ ...stored.headers, 'x-replayed': 'true' })
    .send(Buffer.from(stored.bodyBase64, 'base64'));
}

/**
 * Claims the idempotency key of a non-idempotent request before it runs.
 *
 * Other requests need no claim: idempotent ones may run again, and an instance
 * never sends a non-idempotent request without a key twice.
 *
 * @param context - context of the instance
 * @param caller - caller with the idempotency key
 * @param id - unique id of the request
 * @param reply - HTTP reply; receives the stored reply if the request already
 *   ran
 * @returns whether the request may run
 * @throws RouterError `duplicateInProgress`, `duplicateAlreadyRan` or
 *   `claimUnavailable`
 */
export async function claimIdempotencyKey(
  context: InstanceContext,
  caller: Caller,
  id: RequestId,
  reply: FastifyReply,
): Promise<boolean> {
  const { idempotencyKey, idempotent, organisation } = caller;
  if (idempotent || idempotencyKey === null) {
    return true;
  }
  const result = await context.claims.claim(
    organisation.id,
    idempotencyKey,
    id,
  );
  switch (result.kind) {
    case 'claimed':
      return true;
    case 'inProgress':
      throw routerError(
        'duplicateInProgress',
        `The key "${idempotencyKey}" was claimed and has no result yet.`,
        { retryAfterMs: RETRY_AFTER_MS },
      );
    case 'done':
      if (result.reply === null) {
        throw routerError(
          'duplicateAlreadyRan',
          `The key "${idempotencyKey}" already ran.`,
        );
      }
      sendStoredReply(reply, result.reply);
      return false;
  }
}
