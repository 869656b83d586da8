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

  // Guards against a promise whose reason can't be told from the logs.
  it('states who decided a refusal and what proves it', t => {
    const refused = {
      id: 'requestRefused',
      instance: 'i-1',
      time: '2026-01-01T00:00:00Z',
      request: 'q',
      code: 'noBackendServer',
      status: 503,
      decidedBy: 'gateway',
    };
    const step = (proof: string): string | undefined =>
      firstStep(JSON.stringify({ ...refused, proof, statedBy: ['s-1'] }));
    t.regex(
      step('unsent') ?? '',
      /status 503, decided by the gateway; .*no byte/,
    );
    t.regex(step('stated') ?? '', /as stated by \["s-1"\]$/);
  });

  it('includes errors of the connection while the request was unanswered', t => {
    const line = JSON.stringify({
      id: 'connectionError',
      instance: 'i-1',
      time: '2026-01-01T00:00:00Z',
      code: 'ERR_HTTP_REQUEST_TIMEOUT',
      status: null,
      unanswered: ['p', 'q'],
    });
    t.regex(firstStep(line) ?? '', /ERR_HTTP_REQUEST_TIMEOUT.*nothing was/);
    t.deepEqual(explainRequest(readLogLines(line), 'other').steps, []);
  });

  // Guards against a cut of many streams at once of which each looks like a single case.
  it('states what became of the other requests withdrawn at the same moment', t => {
    const line = (
      id: string,
      request: string,
      atMs: number,
      more: Readonly<Record<string, unknown>> = {},
    ): string =>
      JSON.stringify({
        id,
        instance: 'i-1',
        time: 't',
        request,
        atMs,
        ...more,
      });
    const withdrawn = (request: string, atMs: number, server = 's-1'): string =>
      line('attemptWithdrawn', request, atMs, {
        backendServer: server,
        reason: 'silent',
        silentMs: 760,
        budgetLeft: 1,
        configuration: 9,
        configurationAgeMs: 120,
      });
    const log = [
      ...['q', 'cut', 'answered', 'running'].map(id => withdrawn(id, 1000)),
      withdrawn('later', 1101),
      withdrawn('elsewhere', 1000, 's-2'),
      line('attemptFailed', 'q', 1001, {
        result: 'withdrawn',
        reason: 'silent',
      }),
      line('requestCut', 'q', 1001, { code: 'backendMaybeRan', started: true }),
      line('requestCut', 'cut', 1001),
      line('requestAnswered', 'answered', 1900),
    ].join('\n');
    const { steps, cause } = explainRequest(readLogLines(log), 'q');
    t.regex(steps[0] ?? '', /\(silent\).*760 ms ago.*configuration 9 .*120 ms/);
    t.regex(
      cause,
      /gave up the attempt \(silent\); 3 others.*: 1 cut or failed, 1 answered, 1 without an end/,
    );
  });

  // Guards against a stop that looks as if the caller had left by itself.
  it('names the end of the connection if the instance caused it', t => {
    const log = [
      { id: 'callerLeft', afterMs: 5 },
      {
        id: 'responseIncomplete',
        reason: 'instanceStopped',
        requestRead: 'whole',
        status: null,
      },
    ].map(fields =>
      JSON.stringify({ instance: 'i-1', time: 't', request: 'q', ...fields }),
    );
    t.regex(
      explainRequest(readLogLines(log.join('\n')), 'q').cause,
      /end of a stop; the request was read completely, nothing was written/,
    );
  });
});
