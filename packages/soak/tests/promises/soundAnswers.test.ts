import { describe } from '@jujubecroft/testing';

import type { InjectedFault } from '../../src/evidence.js';
import { EvidenceIndex } from '../../src/promises/EvidenceIndex.js';
import { soundAnswers } from '../../src/promises/sound-answers.js';
import {
  configurationWriteOf,
  evidenceOf,
  executionOf,
  faultOf,
  requestOf,
  responseOf,
} from './evidenceFixture.js';

type Seen = Parameters<typeof evidenceOf>[0];

const safe = requestOf('q-1', 'safe');
const gateway0 = { component: 'gateway', index: 0 } as const;
const replica1 = { component: 'replica', index: 1 } as const;
const execution = executionOf(safe, 'r-1-1');
const closed = {
  type: 'closed',
  id: safe.id,
  replica: 'r-1-1',
  atMs: 10_400,
  whole: false,
} as const;
const ownFailure = responseOf(safe, '', { status: 502, stamp: null });
const noAnswer = responseOf(safe, '', { status: null, whole: false });
const cut = responseOf(safe, 'r-1-1', { whole: false });
const notes = [execution, closed];
const silence: InjectedFault = faultOf('replica-silence', {
  component: 'replica',
  index: null,
});

/** Returns what a caller sees that gets a failure of its gateway, beside a fault. */
const beside = (fault: InjectedFault): Seen => ({
  notes,
  answers: [ownFailure],
  faults: [silence, fault],
});

const BROKEN: readonly (readonly [string, Seen])[] = [
  ['a failure of the gateway', { notes, answers: [ownFailure] }],
  ['no answer', { notes, answers: [noAnswer] }],
  ['an answer that is cut', { notes, answers: [cut] }],
  [
    'a cut answer that its replica had written whole',
    { notes: [execution, { ...closed, whole: true }], answers: [cut] },
  ],
  [
    'a refusal after the only execution was withdrawn',
    {
      notes: [...notes, executionOf(safe, 'r-2-1', { ran: false })],
      answers: [responseOf(safe, '', { status: 503, stamp: null })],
    },
  ],
  [
    'a failure at the second replica, after the first one died',
    {
      notes: [
        executionOf(safe, 'r-0-1'),
        { ...execution, atMs: 10_100 },
        closed,
      ],
      answers: [ownFailure],
    },
  ],
  [
    'a failure beside a fault of another replica',
    beside(faultOf('replica-truncates', { component: 'replica', index: 2 })),
  ],
  [
    'a failure beside a fault of the replica that ended long before',
    beside(
      faultOf('replica-truncates', replica1, { fromMs: 5000, toMs: 6000 }),
    ),
  ],
  [
    'a failure beside an outage of the store',
    beside(faultOf('store-away', { component: 'store', index: null })),
  ],
  [
    'a failure beside a pause of the gateway',
    beside(faultOf('gateway-pause', gateway0)),
  ],
  [
    'a failure at the beginning of a stop',
    beside(faultOf('gateway-stop', gateway0, { toMs: 14_000 })),
  ],
  [
    'a failure after the gateway was killed and started again',
    beside(faultOf('gateway-kill', gateway0, { fromMs: 8000, toMs: 9000 })),
  ],
];

const KEPT: readonly (readonly [string, Seen])[] = [
  [
    'a complete answer of the replica',
    {
      notes: [execution, { ...closed, whole: true }],
      answers: [responseOf(safe, 'r-1-1')],
    },
  ],
  [
    'a failure of the replica',
    { notes, answers: [responseOf(safe, 'r-1-1', { status: 500 })] },
  ],
  ['a refusal of a request that no replica runs', { answers: [ownFailure] }],
  [
    'a failure after the replica died',
    { notes: [execution], answers: [ownFailure] },
  ],
  [
    'a failure after the second replica died',
    {
      notes: [...notes, executionOf(safe, 'r-2-1', { atMs: 10_200 })],
      answers: [ownFailure],
    },
  ],
  [
    'a failure beside a fault of the replica',
    beside(faultOf('replica-truncates', replica1)),
  ],
  [
    'a failure after the caller left',
    { notes, answers: [{ ...noAnswer, leftMs: 10_300 }] },
  ],
  [
    "a failure at the caller's time limit",
    { notes, answers: [{ ...ownFailure, endedMs: 14_000 }] },
  ],
  [
    'a failure at the time limit of a route',
    {
      notes,
      answers: [{ ...ownFailure, endedMs: 12_500 }],
      configurationWrites: [
        configurationWriteOf(3, { shortestTimeoutMs: 2500 }),
      ],
    },
  ],
  [
    'a failure as its gateway is killed',
    beside(faultOf('gateway-kill', gateway0, { fromMs: 10_200, toMs: 11_000 })),
  ],
  [
    'a failure at the end of the grace period',
    beside(faultOf('gateway-stop', gateway0, { fromMs: 6000, toMs: 11_000 })),
  ],
  [
    'a failure at a gateway without paths to replicas',
    beside(faultOf('gateway-loses-paths', gateway0)),
  ],
];

describe('sound-answers', ({ it }) => {
  const violations = (seen: Seen): number => {
    const evidence = evidenceOf({ sent: [safe], ...seen });
    return soundAnswers.check(evidence, new EvidenceIndex(evidence)).length;
  };
  BROKEN.forEach(([title, seen]) => {
    it(`reports ${title}`, t => {
      t.is(violations(seen), 1);
    });
  });
  KEPT.forEach(([title, seen]) => {
    it(`accepts ${title}`, t => {
      t.is(violations(seen), 0);
    });
  });
});
