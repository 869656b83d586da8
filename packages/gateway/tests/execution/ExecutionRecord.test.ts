import type { AttemptResult } from '@jujubecroft/decisions';
import type { BackendServerId } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';
import { describe } from '@jujubecroft/testing';

import { ExecutionRecord } from '../../src/execution/ExecutionRecord.js';

const UNSENT: AttemptResult = { kind: 'unsent', reason: 'refused' };
const WITHDRAWN_UNSENT: AttemptResult = {
  kind: 'withdrawn',
  reason: 'answeredElsewhere',
  isUnsent: true,
};
const NOT_RUN: AttemptResult = { kind: 'notRun', reason: 'status 503' };
const MAY_HAVE_RUN: readonly AttemptResult[] = [
  { kind: 'answered', status: 404, framing: 'selfDelimited' },
  { kind: 'failed', status: 500 },
  { kind: 'lost', reason: 'reset' },
  { kind: 'lost', reason: 'no response', isInvalid: true },
  { kind: 'withdrawn', reason: 'callerLeft' },
  { kind: 'withdrawn', reason: 'replicaRestarted' },
];

const replica = (number: number): BackendServerId =>
  brand<BackendServerId>(`s-${number}`);

function recordOf(results: readonly AttemptResult[]): ExecutionRecord {
  const record = new ExecutionRecord();
  results.forEach((result, index) => {
    record.begin(replica(index));
    record.end(replica(index), result);
  });
  return record;
}

describe('ExecutionRecord', ({ describe: group }) => {
  group('proves that a request did not run', ({ it }) => {
    it('before any attempt, and after attempts of which nothing was sent', t => {
      [[], [UNSENT, UNSENT], [WITHDRAWN_UNSENT]].forEach(results => {
        const proof = recordOf(results).proveNotRun();
        t.is(proof?.kind, 'unsent');
        t.deepEqual(proof?.statedBy, []);
      });
    });

    it('after statements of all replicas that it was sent to', t => {
      const record = recordOf([NOT_RUN, UNSENT, NOT_RUN]);
      t.is(recordOf([NOT_RUN, WITHDRAWN_UNSENT]).sent, 1);
      const proof = record.proveNotRun();
      t.is(proof?.kind, 'stated');
      t.deepEqual(proof?.statedBy, [replica(0), replica(2)]);
      t.is(record.sent, 2);
      t.is(record.unsent, 1);
    });
  });

  group('proves nothing', ({ it }) => {
    // Guards against a promise while a replica may still begin to run the request.
    it('while an attempt is in progress', t => {
      const record = recordOf([NOT_RUN]);
      record.begin(replica(1));
      t.is(record.proveNotRun(), null);
      record.end(replica(1), UNSENT);
      t.is(record.proveNotRun()?.kind, 'stated');
    });

    MAY_HAVE_RUN.forEach(result => {
      // Guards against the statement of one replica that is taken for that of all.
      it(`once an attempt may have run: ${JSON.stringify(result)}`, t => {
        t.is(recordOf([result]).proveNotRun(), null);
        t.is(recordOf([result, NOT_RUN]).proveNotRun(), null);
        t.is(recordOf([UNSENT, result, UNSENT]).proveNotRun(), null);
      });
    });
  });

  group('counts an attempt in progress', ({ it }) => {
    // Guards against an attempt beside another one, at the same replica or beyond the number
    // of attempts of the route.
    it('as sent, at a replica that no further attempt uses', t => {
      const record = new ExecutionRecord();
      record.begin(replica(0));
      record.begin(replica(1));
      t.is(record.sent, 2);
      t.deepEqual([...record.tried], [replica(0), replica(1)]);
      record.end(replica(1), UNSENT);
      t.is(record.sent, 1);
      t.is(record.unsent, 1);
      record.release(replica(1));
      t.deepEqual([...record.tried], [replica(0)]);
    });
  });

  group('releases a replica at which an attempt was withheld', ({ it }) => {
    // Guards against a request that is admitted twice since it looks like a new one.
    it('unless there was no other attempt', t => {
      const record = recordOf([UNSENT]);
      record.release(replica(0));
      t.deepEqual([...record.tried], [replica(0)]);
      record.begin(replica(1));
      record.end(replica(1), UNSENT);
      record.release(replica(1));
      t.deepEqual([...record.tried], [replica(0)]);
      t.is(record.unsent, 2);
    });
  });
});
