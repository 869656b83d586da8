import type { AttemptResult } from '@jujubecroft/decisions';
import { describe } from '@jujubecroft/testing';

import { endAttempt } from '../../src/forward/endAttempt.js';

describe('endAttempt', ({ it }) => {
  // Guards against an attempt that stays in progress because its complete response could
  // not be written.
  it('ends an attempt whose complete response cannot be processed as lost', t => {
    const error = new RangeError('invalid status');
    const complete = (): never => {
      throw error;
    };
    t.deepEqual(endAttempt({ kind: 'complete' }, { complete }, null), {
      result: { kind: 'lost', reason: 'invalid status', isInvalid: true },
      failure: null,
      error,
    });
  });

  // Guards against a request that may not be retried, since an attempt counts that was
  // withdrawn before its connection was open.
  it('tells whether a withdrawn attempt was sent', t => {
    const complete = (): never => {
      throw new Error('there is no response');
    };
    const resultOf = (sent: boolean): AttemptResult =>
      endAttempt({ kind: 'aborted', sent }, { complete }, 'answeredElsewhere')
        .result;
    const withdrawn = { kind: 'withdrawn', reason: 'answeredElsewhere' };
    t.deepEqual<unknown, unknown>(resultOf(true), withdrawn);
    t.deepEqual<unknown, unknown>(resultOf(false), {
      ...withdrawn,
      isUnsent: true,
    });
  });
});
