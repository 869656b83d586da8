import { describe } from '@jujubecroft/testing';

import type { Evidence } from '../../src/evidence.js';
import { ALL_PROMISES } from '../../src/promises/allPromises.js';
import { EvidenceIndex } from '../../src/promises/EvidenceIndex.js';
import {
  answerOf,
  evidenceOf,
  faultOf,
  runOf,
  sentOf,
} from './evidenceFixture.js';

/** Names of the promises that some evidence breaks. */
function brokenBy(evidence: Evidence): readonly string[] {
  const index = new EvidenceIndex(evidence);
  return ALL_PROMISES.filter(
    // A few requests are no measure of recovery.
    ({ name }) => name !== 'serves-again',
  )
    .filter(({ check }) => check(evidence, index).length > 0)
    .map(({ name }) => name);
}

const safe = sentOf('q-1', 'safe');
const unsafe = sentOf('q-2', 'unsafe');
const stream = sentOf('q-3', 'resumable');
const gateway0 = { what: 'gateway', index: 0 } as const;

/** A request that ends whatever runs it, repeated once a second. */
const crashing = Array.from({ length: 11 }, (_, index) =>
  sentOf(`c-${index}`, 'safe', {
    sentMs: 10_000 + 1000 * index,
    body: JSON.stringify({ workMs: 100, events: 0, gapMs: 0, crashes: true }),
  }),
);
/** Ten requests a second at a replica that takes one. */
const crowd = Array.from({ length: 90 }, (_, index) =>
  sentOf(`l-${index}`, 'safe', { sentMs: 10_000 + 100 * index }),
);
const limitOfOne = {
  type: 'limit',
  replica: 'r-1',
  atMs: 10_000,
  perS: 1,
} as const;

interface Case {
  readonly title: string;
  readonly seen: Parameters<typeof evidenceOf>[0];
  readonly broken: readonly string[];
}

const CASES: readonly Case[] = [
  {
    title: 'keep everything when each request has its answer',
    seen: {
      sent: [safe, unsafe, stream],
      notes: [runOf(safe, 'r-1'), runOf(unsafe, 'r-1'), runOf(stream, 'r-2')],
      answers: [
        answerOf(safe, 'r-1'),
        answerOf(unsafe, 'r-1'),
        answerOf(stream, 'r-2'),
      ],
    },
    broken: [],
  },
  {
    title: 'notice an unsafe request that ran twice',
    seen: {
      sent: [unsafe],
      notes: [runOf(unsafe, 'r-1'), runOf(unsafe, 'r-2')],
    },
    broken: ['at-most-once'],
  },
  {
    title: 'notice a request that is sent on after three crashes',
    seen: {
      sent: crashing,
      notes: crashing.map((sent, index) => runOf(sent, `r-${index}`)),
    },
    broken: ['crashing-requests'],
  },
  {
    title: 'let the repeats pass that are sent before the third is known',
    seen: {
      sent: crashing.slice(0, 8),
      notes: crashing
        .slice(0, 8)
        .map((sent, index) => runOf(sent, `r-${index}`)),
    },
    broken: [],
  },
  {
    title: 'notice more at a replica than the limit that it names',
    seen: {
      sent: crowd,
      notes: [limitOfOne, ...crowd.map(sent => runOf(sent, 'r-1'))],
      answers: crowd.map(sent =>
        answerOf(sent, 'r-1', { endedMs: sent.sentMs + 100 }),
      ),
    },
    broken: ['replica-limits'],
  },
  {
    title: 'let as many pass where the limit has ended',
    seen: {
      sent: crowd,
      notes: [
        limitOfOne,
        { ...limitOfOne, atMs: 10_500, perS: null },
        ...crowd.map(sent => runOf(sent, 'r-1')),
      ],
      answers: crowd.map(sent =>
        answerOf(sent, 'r-1', { endedMs: sent.sentMs + 100 }),
      ),
    },
    broken: [],
  },
  {
    title: 'notice a refusal of what ran',
    seen: {
      sent: [unsafe],
      notes: [runOf(unsafe, 'r-1')],
      answers: [answerOf(unsafe, 'r-1', { status: 503, body: '', mark: null })],
    },
    broken: ['true-refusals'],
  },
  {
    title: 'notice an answer that ends early and looks whole',
    seen: {
      sent: [stream],
      notes: [runOf(stream, 'r-1')],
      answers: [answerOf(stream, 'r-1', { body: 'id: 1\ndata: q-3 1\n\n' })],
    },
    broken: ['whole-own-answers'],
  },
  {
    title: 'let an answer that is visibly cut pass',
    seen: {
      sent: [stream],
      notes: [runOf(stream, 'r-1')],
      answers: [
        answerOf(stream, 'r-1', {
          body: 'id: 1\ndata: q-3 1\n\n',
          whole: false,
        }),
      ],
    },
    broken: [],
  },
  {
    title: 'notice the answer of another run',
    seen: {
      sent: [safe],
      notes: [runOf(safe, 'r-1')],
      answers: [answerOf(safe, 'r-9')],
    },
    broken: ['whole-own-answers'],
  },
  {
    title: 'notice a changed body and a foreign organisation',
    seen: {
      sent: [safe],
      notes: [runOf(safe, 'r-1', { organisation: 'org-2' })],
    },
    broken: ['unchanged-requests'],
  },
  {
    title: 'notice a request that nobody sent',
    seen: { notes: [runOf(safe, 'r-1')] },
    broken: ['unchanged-requests'],
  },
  {
    title: 'notice more attempts than allowed, and repeats beyond the budget',
    seen: {
      sent: [safe],
      notes: [1, 2, 3, 4].map(number => runOf(safe, `r-${number}`)),
    },
    broken: ['bounded-attempts', 'bounded-retries'],
  },
  {
    title: 'notice requests to a replica long after it began to leave',
    seen: {
      sent: [safe],
      notes: [runOf(safe, 'r-1')],
      leaving: [{ replica: 'r-1', ackedMs: 7000, backMs: Infinity }],
    },
    broken: ['leaving-replicas'],
  },
  {
    // A paused replica's entry runs out; it wakes, its entry is back, and it is
    // asked again as it should be.
    title: 'let requests pass to a replica whose entry came back',
    seen: {
      sent: [safe],
      notes: [runOf(safe, 'r-1')],
      leaving: [{ replica: 'r-1', ackedMs: 7000, backMs: 9500 }],
    },
    broken: [],
  },
  {
    title: 'notice requests to a replica before its entry came back',
    seen: {
      sent: [safe],
      notes: [runOf(safe, 'r-1')],
      leaving: [{ replica: 'r-1', ackedMs: 7000, backMs: 11_000 }],
    },
    broken: ['leaving-replicas'],
  },
  {
    title: 'excuse a gateway that was paused meanwhile',
    seen: {
      sent: [safe],
      notes: [runOf(safe, 'r-1')],
      leaving: [{ replica: 'r-1', ackedMs: 7000, backMs: Infinity }],
      faults: [
        faultOf('gateway-pause', gateway0, { fromMs: 7500, toMs: 9500 }),
      ],
    },
    broken: [],
  },
  {
    title: 'notice an answer that a planned stop cuts',
    seen: {
      sent: [safe],
      notes: [runOf(safe, 'r-1')],
      answers: [
        answerOf(safe, 'r-1', { whole: false, status: null, body: '' }),
      ],
      faults: [faultOf('gateway-stop', gateway0, { planned: true })],
    },
    broken: ['graceful-stops'],
  },
  {
    title: 'notice a configuration that is not in force in time',
    seen: {
      sent: [sentOf('q-4', 'probe', { version: 5 })],
      answers: [answerOf(sentOf('q-4', 'probe'), '', { status: 404 })],
      configured: [{ version: 5, ackedMs: 7000, droppedMs: Infinity }],
    },
    broken: ['configuration-in-force'],
  },
  {
    title: 'notice a configuration that a process forgets',
    seen: {
      sent: [
        sentOf('q-5', 'probe', { version: 5, sentMs: 9800 }),
        sentOf('q-6', 'probe', { version: 5, sentMs: 11_000 }),
      ],
      notes: [],
      answers: [
        { ...answerOf(sentOf('q-5', 'safe'), 'r-1'), endedMs: 9900 },
        answerOf(sentOf('q-6', 'probe'), '', { status: 404 }),
      ],
      configured: [{ version: 5, ackedMs: 9700, droppedMs: Infinity }],
    },
    broken: ['configuration-in-force', 'whole-own-answers'],
  },
  {
    title: 'notice two gateways that call under one token',
    seen: {
      dutyCalls: [
        { holder: 'gateway-0', token: 3, window: 7, counts: '{}' },
        { holder: 'gateway-1', token: 3, window: 8, counts: '{}' },
      ],
    },
    broken: ['duties-of-one'],
  },
  {
    title: 'notice a window that is reported with two counts',
    seen: {
      dutyCalls: [
        { holder: 'gateway-0', token: 3, window: 7, counts: '{"a":1}' },
        { holder: 'gateway-1', token: 4, window: 7, counts: '{"a":2}' },
      ],
    },
    broken: ['duties-of-one'],
  },
];

describe('promises of the soak', ({ it }) => {
  CASES.forEach(({ title, seen, broken }) => {
    it(title, t => {
      t.deepEqual(brokenBy(evidenceOf(seen)), broken);
    });
  });

  it('notice work for callers that left', t => {
    const left = Array.from({ length: 10 }, (_, index) =>
      sentOf(`l-${index}`, 'safe'),
    );
    const evidence = evidenceOf({
      sent: left,
      notes: left.map(sent => runOf(sent, 'r-1', { endsMs: 15_000 })),
      answers: left.map(sent =>
        answerOf(sent, '', { status: null, whole: false, leftMs: 10_100 }),
      ),
    });
    t.deepEqual(brokenBy(evidence), ['cancelled-work']);
  });

  // A run ends a few seconds after the time to recover. Whoever asked within them
  // was served; that their time limit lies beyond the end says nothing.
  it('count what was asked shortly before the end', t => {
    const last = Array.from({ length: 30 }, (_, index) =>
      sentOf(`e-${index}`, 'safe', { sentMs: 59_000 }),
    );
    const evidence = evidenceOf({
      sent: last,
      notes: last.map(sent => runOf(sent, 'r-1')),
      answers: last.map(sent => answerOf(sent, 'r-1')),
      calmFromMs: 50_000,
    });
    const index = new EvidenceIndex(evidence);
    const broken = ALL_PROMISES.filter(
      ({ check }) => check(evidence, index).length > 0,
    );
    t.deepEqual(broken, []);
  });

  it('notice a system that does not serve again', t => {
    const late = Array.from({ length: 30 }, (_, index) =>
      sentOf(`s-${index}`, 'safe', { sentMs: 20_000 }),
    );
    const evidence = evidenceOf({
      sent: late,
      answers: late.map(sent =>
        answerOf(sent, '', { status: 503, body: '', mark: null }),
      ),
      calmFromMs: 12_000,
    });
    const index = new EvidenceIndex(evidence);
    const broken = ALL_PROMISES.filter(
      ({ check }) => check(evidence, index).length > 0,
    );
    t.deepEqual(
      broken.map(({ name }) => name),
      ['serves-again'],
    );
  });
});
