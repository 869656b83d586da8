import { describe } from '@jujubecroft/testing';
import { expectedAnswer } from '@jujubecroft/stand-ins';

import type { Call } from './wholePathFixture.js';
import {
  errorSchema,
  answerSchema,
  HEADERS,
  MESSAGES,
  withFleet,
  call,
  chat,
} from './wholePathFixture.js';

const BAD_INPUT: readonly (Call & {
  readonly name: string;
  readonly code: number;
})[] = [
  { name: 'no JSON', body: '{', code: 1001 },
  {
    name: 'no messages',
    body: '{"model":"chef-small","messages":[]}',
    code: 1001,
  },
  {
    name: 'a negative token bound',
    body: chat(10).replace('"max_tokens":10', '"max_tokens":-1'),
    code: 1001,
  },
  { name: 'too large a body', body: `"${'x'.repeat(1_100_000)}"`, code: 1002 },
  {
    name: 'an unknown model',
    body: chat(10).replace('chef-small', 'chef-huge'),
    code: 1003,
  },
  {
    name: 'an unknown class',
    headers: { ...HEADERS, 'x-request-class': 'platinum' },
    body: chat(10),
    code: 1004,
  },
  {
    name: 'an unknown key',
    headers: { ...HEADERS, authorization: 'Bearer guess' },
    body: chat(10),
    code: 1005,
  },
  {
    name: 'a long idempotency key',
    headers: { ...HEADERS, 'idempotency-key': 'k'.repeat(200) },
    body: chat(10),
    code: 1006,
  },
  {
    name: 'a wrong idempotent mark',
    headers: { ...HEADERS, 'x-idempotent': 'perhaps' },
    body: chat(10),
    code: 1006,
  },
  {
    name: 'an unknown service',
    path: '/services/none/x',
    body: '',
    code: 1007,
  },
  { name: 'an unknown path', path: '/v2/chat', body: '', code: 1008 },
];

describe('whole path', suite => {
  suite.describe('callers', ({ it }) => {
    it('answers whole, streamed and collected', async t => {
      await withFleet(async (_fleet, url) => {
        const expected = expectedAnswer(MESSAGES, 40);
        const collected = await call(url, { body: chat(40) });
        const answer = answerSchema.parse(JSON.parse(collected.text));
        t.is(answer.choices[0]?.message.content, expected);
        const streamed = await call(url, { body: chat(40, true) });
        t.true(streamed.text.endsWith('data: [DONE]\n\n'));
        t.is(streamed.text.split('"content"').length - 1 > 0, true);
      });
    });

    it('refuses bad input with a number, and sends nothing on', async t => {
      await withFleet(async (fleet, url) => {
        for (const { name, code, ...input } of BAD_INPUT) {
          const { text } = await call(url, input);
          const { error } = errorSchema.parse(JSON.parse(text));
          t.is(error.code, code, name);
          t.is(error.ran, 'no', name);
          t.not(error.action, '', name);
        }
        const counts = await Promise.all(
          fleet.engines.map(engine =>
            fleet.read(engine.url, '/control/counts'),
          ),
        );
        t.deepEqual(
          counts,
          counts.map(() => ({ generatedTokens: 0 })),
        );
      });
    });

    it('passes method, body and status of a plain service on', async t => {
      await withFleet(async (_fleet, url) => {
        const { status, text, res } = await call(url, {
          path: '/services/stock/items/7?full=1',
          method: 'PUT',
          headers: {
            ...HEADERS,
            'x-request-class': 'menu-price-check',
            'content-type': 'text/plain',
            'x-want-status': '409',
          },
          body: 'seven',
        });
        t.is(status, 409);
        t.is(res.headers['x-served-by'], 'stock-1');
        t.deepEqual(JSON.parse(text), {
          method: 'PUT',
          url: '/items/7?full=1',
          body: 'seven',
        });
      });
    });

    it('runs a keyed call once, whichever instances repeats reach', async t => {
      // A menu price is changed twice, because the caller repeated its call at
      // another instance after the first one's reply was slow.
      await withFleet(async fleet => {
        const input: Call = {
          path: '/services/stock/price',
          headers: {
            ...HEADERS,
            'x-request-class': 'menu-price-check',
            'idempotency-key': 'price-1',
          },
          body: '{}',
        };
        const replies = [];
        for (const url of [...fleet.callerUrls, ...fleet.callerUrls]) {
          replies.push(await call(url, input));
        }
        t.true(replies.every(({ status }) => status === 200));
        t.is(new Set(replies.map(({ text }) => text)).size, 1);
        const runs = await fleet.read(
          fleet.services[0]?.url ?? '',
          '/control/runs',
        );
        t.deepEqual(runs, { 'price-1': 1 });
      });
    });

    it('says "maybe" when a non-idempotent call may have run', async t => {
      // The service ran the call and then cut the connection. Sending it again
      // could change a price twice; saying "not run" would be a lie.
      await withFleet(async (fleet, url) => {
        const [service] = fleet.services;
        await fleet.setFaults(service?.url ?? '', { cutReplies: true });
        const { text } = await call(url, {
          path: '/services/stock/price',
          headers: {
            ...HEADERS,
            'x-request-class': 'menu-price-check',
            'idempotency-key': 'price-2',
          },
          body: '{}',
        });
        t.is(errorSchema.parse(JSON.parse(text)).error.ran, 'maybe');
        const runs = await fleet.read(service?.url ?? '', '/control/runs');
        t.deepEqual(runs, { 'price-2': 1 });
      });
    });

    it('refuses keyed calls as not run while the table is down', async t => {
      await withFleet(async (fleet, url) => {
        await fleet.setFaults(fleet.platformUrl, { down: true });
        const { text } = await call(url, {
          path: '/services/stock/price',
          headers: {
            ...HEADERS,
            'x-request-class': 'menu-price-check',
            'idempotency-key': 'price-3',
          },
          body: '{}',
        });
        const { error } = errorSchema.parse(JSON.parse(text));
        t.deepEqual([error.code, error.ran], [3006, 'no']);
        const answered = await call(url, { body: chat(10) });
        t.is(answered.status, 200, 'idempotent work goes on');
        const runs = await fleet.read(
          fleet.services[0]?.url ?? '',
          '/control/runs',
        );
        t.deepEqual(runs, {});
      });
    });
  });
});
