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
  // A draft waited three seconds though its replica answered others meanwhile:
  // it was late anyway when it came, so it was sent behind them.
  it('says that a request stepped behind others, and what is copied for it', t => {
    const step = firstStep(placed({ deferred: true, fetchFrom: 's-2' }));
    t.regex(step ?? '', /late anyway, so behind the others/);
    t.regex(step ?? '', /copies cached parts of s-2$/);
  });

  it('says nothing of either for any other request', t => {
    t.regex(firstStep(placed({ deferred: false })) ?? '', /900 ms left$/);
  });
});
