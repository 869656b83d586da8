import { describe } from '@jujubecroft/testing';

import { explainRequest, readLogLines } from '../src/index.js';

const placed = (more: Readonly<Record<string, unknown>>): string =>
  JSON.stringify({
    id: 'requestPlaced',
    instance: 'i-1',
    time: '2026-01-01T00:00:00Z',
    request: 'q',
    attempt: 1,
    backendServer: 's-1',
    leftMs: 900,
    ...more,
  });

const firstStep = (line: string): string | undefined =>
  explainRequest(readLogLines(line), 'q').steps[0];

describe('explainRequest', ({ it }) => {
  // A deferred request waits while its replica answers others, since it was predicted
  // to miss its target when it arrived. The explanation has to state that reason.
  it('states that a request was deferred, and from where cached parts are copied', t => {
    const step = firstStep(placed({ deferred: true, fetchFrom: 's-2' }));
    t.regex(step ?? '', /late anyway, so behind the others/);
    t.regex(step ?? '', /copies cached parts of s-2$/);
  });

  it('mentions neither for a request without deferral or copies', t => {
    t.regex(firstStep(placed({ deferred: false })) ?? '', /900 ms left$/);
  });
});
