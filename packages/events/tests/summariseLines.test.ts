import { describe } from '@jujubecroft/testing';

import type { ParsedLine } from '../src/index.js';
import { summariseLines } from '../src/index.js';

const START_MS = Date.parse('2026-01-01T00:00:00.000Z');

function line(
  id: string,
  atS: number,
  request: string,
  fields: Readonly<Record<string, unknown>> = {},
): ParsedLine {
  return {
    id,
    instance: 'i-1',
    time: new Date(START_MS + atS * 1000).toISOString(),
    atMs: 0,
    fields: { request, ...fields },
  };
}

const placed = (
  atS: number,
  request: string,
  fields: Readonly<Record<string, unknown>> = {},
): ParsedLine =>
  line('requestPlaced', atS, request, {
    route: 'r-1',
    backendServer: 's-1',
    predictedMs: 100,
    promptTokens: 1000,
    unreadTokens: 400,
    ...fields,
  });

const answered = (
  atS: number,
  request: string,
  firstMs: number,
  longestPauseMs = 0,
): ParsedLine =>
  line('requestAnswered', atS, request, {
    firstMs,
    targetMs: 300,
    longestPauseMs,
    pauseTargetMs: 120,
  });

describe('summariseLines', ({ it }) => {
  it('counts late first events and late pauses separately, by the window of the first line', t => {
    const { windows } = summariseLines(
      [
        placed(0, 'a'),
        answered(1, 'a', 90),
        placed(1, 'b'),
        answered(5, 'b', 400, 200),
        placed(2, 'c', { deferred: true }),
        answered(3, 'c', 200, 130),
        placed(5, 'd'),
      ],
      4,
    );
    t.is(windows.length, 2);
    const [first, second] = windows;
    t.is(first?.placed, 3);
    t.is(first?.answered, 3);
    t.is(first?.lateFirst, 1);
    t.is(first?.latePauses, 1);
    t.is(first?.deferred, 1);
    t.is(first?.predictionRatioP50, 2);
    t.is(Math.round(100 * (first?.cachedShare ?? 0)), 60);
    t.is(second?.fromS, 4);
    t.is(second?.answered, 0);
  });

  it('counts requests that were refused, cut or left by the caller, with or without an attempt', t => {
    const { windows } = summariseLines(
      [
        line('requestRefused', 0, 'a', { route: 'r-1' }),
        placed(0, 'b'),
        line('requestCut', 1, 'b', { route: 'r-1' }),
        placed(0, 'c'),
        line('callerLeft', 1, 'c', { route: 'r-1' }),
        // Without a route, since no route matched the path.
        line('requestRefused', 0, 'd'),
      ],
      4,
    );
    t.is(windows.length, 1);
    t.is(windows[0]?.refused, 1);
    t.is(windows[0]?.cut, 1);
    t.is(windows[0]?.left, 1);
    t.is(windows[0]?.placed, 2);
  });

  // Guards against a service that serves requests with long prompts less often than
  // others unnoticed: the prompt length of refused requests has to count as well.
  it('summarises outcomes by prompt length', t => {
    const small = Array.from({ length: 7 }, (_, index) => [
      placed(0, `s-${index}`, { promptTokens: 100 + index }),
      answered(1, `s-${index}`, 90),
    ]);
    const refused = (request: string, promptTokens: number): ParsedLine =>
      line('requestRefused', 0, request, { route: 'r-1', promptTokens });
    const { sizes } = summariseLines(
      [
        ...small.flat(),
        refused('largest', 9000),
        refused('large', 4000),
        placed(0, 'other', { promptTokens: 3000 }),
        answered(1, 'other', 90),
      ],
      4,
    );
    t.deepEqual(
      sizes.map(
        ({ part, fromTokens, requestCount: asked, answered: served }) => [
          part,
          fromTokens,
          asked,
          served,
        ],
      ),
      [
        ['largestTenth', 9000, 1, 0],
        ['nextFifth', 3000, 2, 1],
        ['rest', 100, 7, 7],
      ],
    );
  });

  it('lists backend servers by descending number of tokens to read', t => {
    const { servers } = summariseLines(
      [
        placed(0, 'a'),
        placed(0, 'b', { backendServer: 's-2', unreadTokens: 900 }),
        placed(1, 'c'),
      ],
      4,
    );
    t.deepEqual(servers, [
      { backendServer: 's-2', placed: 1, unreadTokens: 900 },
      { backendServer: 's-1', placed: 2, unreadTokens: 800 },
    ]);
  });
});
