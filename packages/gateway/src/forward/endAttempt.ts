import type { AttemptResult, WithdrawReason } from '@jujubecroft/decisions';

import type { ExchangeEnd } from '../backends/sendAttempt.js';
import { toError } from '../util/toError.js';
import type { CompleteResponse } from './CallerResponse.js';
import type { ResponseAssembler } from './ResponseAssembler.js';

/** How an attempt ended, and what remains of its response. */
export interface AttemptEnd {
  readonly result: AttemptResult;
  /** An error response that may still be sent to the caller; null otherwise. */
  readonly failure: CompleteResponse | null;
  /** Why the response could not be used; null if it was not invalid. */
  readonly error: Error | null;
}

function withResult(result: AttemptResult): AttemptEnd {
  return { result, failure: null, error: null };
}

/** The end of an attempt that got no usable response; it may have run if it was sent. */
function invalidEnd(error: Error, sent: boolean): AttemptEnd {
  const reason = error.message;
  return {
    result: sent
      ? { kind: 'lost', reason, isInvalid: true }
      : { kind: 'unsent', reason },
    failure: null,
    error,
  };
}

function completeEnd(
  assembler: Pick<ResponseAssembler, 'complete'>,
): AttemptEnd {
  try {
    return { ...assembler.complete(), error: null };
  } catch (err) {
    return invalidEnd(toError(err), true);
  }
}

/**
 * Determines the end of an attempt from that of its exchange.
 *
 * @param exchangeEnd - how the exchange ended
 * @param assembler - received the response; it is completed if the exchange is complete
 * @param withdrawReason - why this instance withdrew the attempt; null if it did not
 * @returns the result; never throws, so that the end of each attempt is recorded
 */
export function endAttempt(
  exchangeEnd: ExchangeEnd,
  assembler: Pick<ResponseAssembler, 'complete'>,
  withdrawReason: WithdrawReason | null,
): AttemptEnd {
  switch (exchangeEnd.kind) {
    case 'complete':
      return completeEnd(assembler);
    case 'invalid':
      return invalidEnd(exchangeEnd.error, exchangeEnd.sent);
    case 'failed': {
      const kind = exchangeEnd.sent ? 'lost' : 'unsent';
      return withResult({ kind, reason: exchangeEnd.reason });
    }
    case 'aborted': {
      const reason = withdrawReason ?? 'callerLeft';
      // A request that was still waiting for a connection did not reach the
      // earlier run of the replica.
      return withResult(
        reason === 'replicaRestarted' && !exchangeEnd.sent
          ? { kind: 'unsent', reason }
          : {
              kind: 'withdrawn',
              reason,
              ...(exchangeEnd.sent ? {} : { isUnsent: true }),
            },
      );
    }
  }
}
