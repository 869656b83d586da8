import { describe } from '@jujubecroft/testing';
import { expectedAnswer } from '@jujubecroft/stand-ins';

import type { CallOptions } from './wholePathFixture.js';
import {
  errorSchema,
  answerSchema,
  HEADERS,
  MESSAGES,
  withFleet,
  sendCall,
  chatBody,
} from './wholePathFixture.js';

const BAD_INPUT: readonly (CallOptions & {
  readonly name: string;
  readonly code: number;
})[] = [
  { name: 'invalid JSON', body: '{', code: 1001 },
  {
    name: 'no messages',
    body: '{"model":"chef-small","messages":[]}',
    code: 1001,
  },
  {
    name: 'a negative max_tokens',
    body: chatBody(10).replace('"max_tokens":10', '"max_tokens":-1'),
    code: 1001,
  },
  {
    name: 'a body that is too large',
    body: `"${'x'.repeat(1_100_000)}"`,
    code: 1002,
  },
  {
    name: 'an unknown model',
    body: chatBody(10).replace('chef-small', 'chef-huge'),
    code: 1003,
  },
  {
    name: 'an unknown request class',
    headers: { ...HEADERS, 'x-request-class': 'platinum' },
    body: chatBody(10),
    code: 1004,
  },
  {
    name: 'an unknown key',
    headers: { ...HEADERS, authorization: 'Bearer guess' },
    body: chatBody(10),
    code: 1005,
  },
  {
    name: 'an idempotency key that is too long',
    headers: { ...HEADERS, 'idempotency-key': 'k'.repeat(200) },
    body: chatBody(10),
    code: 1006,
  },
  {
    name: 'an invalid x-idempotent header',
    headers: { ...HEADERS, 'x-idempotent': 'perhaps' },
    body: chatBody(10),
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
    it('answers chat calls completely, streamed or not', async t => {
      await withFleet(async (_fleet, url) => {
        const expected = expectedAnswer(MESSAGES, 40);
        const collected = await sendCall(url, { body: chatBody(40) });
        const answer = answerSchema.parse(JSON.parse(collected.text));
        t.is(answer.choices[0]?.message.content, expected);
        const streamed = await sendCall(url, { body: chatBody(40, true) });
        t.true(streamed.text.endsWith('data: [DONE]\n\n'));
        t.is(streamed.text.split('"content"').length - 1 > 0, true);
      });
    });

    it('refuses invalid calls with an error code and forwards nothing', async t => {
      await withFleet(async (fleet, url) => {
        for (const { name, code, ...input } of BAD_INPUT) {
          const { text } = await sendCall(url, input);
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

    it('forwards method, path and body to a plain service and returns its status', async t => {
      await withFleet(async (_fleet, url) => {
        const { status, text, res } = await sendCall(url, {
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

    it('runs a call with an idempotency key once, whichever instances receive its repeats', async t => {
      // Guards against running a call twice if the caller repeats it at another
      // instance because the first one was slow to reply.
      await withFleet(async fleet => {
        const input: CallOptions = {
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
          replies.push(await sendCall(url, input));
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

    it('answers ran "maybe" when a non-idempotent call may have run', async t => {
      // The service runs the call and then cuts the connection. Sending it again
      // could change a price twice, and answering "no" would be false.
      await withFleet(async (fleet, url) => {
        const [service] = fleet.services;
        await fleet.setFaults(service?.url ?? '', { cutReplies: true });
        const { text } = await sendCall(url, {
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

    // Guards against a claim that is released because the failure of a run was taken for
    // "not run", so that the repeat runs the call again.
    it('answers ran "maybe" when a service fails with status 503 after it ran a call', async t => {
      await withFleet(async (fleet, url) => {
        const input: CallOptions = {
          path: '/services/stock/price',
          headers: {
            ...HEADERS,
            'x-request-class': 'menu-price-check',
            'idempotency-key': 'price-5',
            'x-want-status': '503',
          },
          body: '{}',
        };
        const { status, text } = await sendCall(url, input);
        t.is(errorSchema.parse(JSON.parse(text)).error.ran, 'maybe');
        t.is(status, 502);
        await sendCall(url, input);
        const runs = await fleet.read(
          fleet.services[0]?.url ?? '',
          '/control/runs',
        );
        t.deepEqual(runs, { 'price-5': 1 });
      });
    });

    // Guards against half a reply that its caller gets under a length, and that is
    // stored as the whole one.
    it('passes on a reply without framing as it came, and never repeats it', async t => {
      await withFleet(async (fleet, url) => {
        const [service] = fleet.services;
        await fleet.setFaults(service?.url ?? '', { unframedReplies: true });
        const input: CallOptions = {
          path: '/services/stock/price',
          headers: {
            ...HEADERS,
            'x-request-class': 'menu-price-check',
            'idempotency-key': 'price-4',
          },
          body: '{}',
        };
        const { status, text, res } = await sendCall(url, input);
        t.deepEqual([status, text], [200, '{"half":']);
        t.is(res.headers['content-length'], undefined);
        t.is(res.headers['transfer-encoding'], undefined);
        const repeat = await sendCall(url, input);
        t.not(repeat.status, 200);
        const runs = await fleet.read(service?.url ?? '', '/control/runs');
        t.deepEqual(runs, { 'price-4': 1 });
      });
    });

    it('refuses calls with an idempotency key as not run while the table is down', async t => {
      await withFleet(async (fleet, url) => {
        await fleet.setFaults(fleet.platformUrl, { down: true });
        const { text } = await sendCall(url, {
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
        const answered = await sendCall(url, { body: chatBody(10) });
        t.is(answered.status, 200, 'idempotent calls are still answered');
        const runs = await fleet.read(
          fleet.services[0]?.url ?? '',
          '/control/runs',
        );
        t.deepEqual(runs, {});
      });
    });
  });
});
