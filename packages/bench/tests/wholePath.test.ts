import { request } from 'undici';
import { z } from 'zod';
import { describe } from '@jujubecroft/testing';
import type { proto } from '@jujubecroft/operator';
import { expectedAnswer } from '@jujubecroft/stand-ins';

import { demoDeployment, keyOf, LocalFleet } from '../src/index.js';

const SIZE = {
  instances: 3,
  engines: 3,
  services: 1,
  engineModel: { stepBaseMs: 2, stepPerSequenceMs: 0.05 },
};

const errorSchema = z.object({
  error: z.object({ code: z.number(), ran: z.string(), action: z.string() }),
});
const answerSchema = z.object({
  choices: z.array(z.object({ message: z.object({ content: z.string() }) })),
});
const keepSchema = z.object({ keep_seconds: z.number() });
const addressesSchema = z.object({
  addresses: z.array(z.object({ instance: z.string() })),
});

const HEADERS = {
  authorization: `Bearer ${keyOf('konoba-mir')}`,
  'content-type': 'application/json',
  'x-request-class': 'recipe-costing',
};

const MESSAGES = [{ role: 'user', content: 'What does a plate cost?' }];

async function withFleet(
  body: (fleet: LocalFleet, url: string) => Promise<void>,
): Promise<void> {
  const fleet = new LocalFleet();
  try {
    await fleet.start(SIZE);
    await fleet.apply(demoDeployment(fleet.servers));
    await body(fleet, fleet.callerUrls[0] ?? '');
  } finally {
    await fleet.stop();
  }
}

interface Call {
  readonly path?: string;
  readonly method?: 'GET' | 'POST' | 'PUT';
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
}

async function call(url: string, { path, method, headers, body }: Call) {
  const res = await request(`${url}${path ?? '/v1/chat/completions'}`, {
    method: method ?? 'POST',
    headers: headers ?? HEADERS,
    ...(body === undefined ? {} : { body }),
  });
  return { status: res.statusCode, text: await res.body.text(), res };
}

const chat = (maxTokens: number, stream = false): string =>
  JSON.stringify({
    model: 'chef-small',
    messages: MESSAGES,
    max_tokens: maxTokens,
    stream,
  });

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

  suite.describe('engines', ({ it }) => {
    it('continues a stream byte for byte when its engine crashes', async t => {
      // A chef sees an answer stop. The engine crashed in the middle of it, and
      // two others could have gone on.
      await withFleet(async (fleet, url) => {
        const messages = [{ role: 'user', content: 'long answer please 3' }];
        const body = JSON.stringify({
          model: 'chef-small',
          messages,
          max_tokens: 400,
        });
        const answer = call(url, { body });
        const serving = await busyEngine(fleet);
        await fleet.setFaults(serving, { crashed: true });
        const { text } = await answer;
        const { choices } = answerSchema.parse(JSON.parse(text));
        t.is(choices[0]?.message.content, expectedAnswer(messages, 400));
      });
    });
  });

  suite.describe('operators', ({ it }) => {
    it('watches the decisions of a request as they happen', async t => {
      await withFleet(async (fleet, url) => {
        const connection = fleet.operator(0);
        const events: proto.DecisionEvent[] = [];
        const stream = connection.watch({
          requestClass: 'recipe-costing',
          organisation: '',
          request: '',
        });
        const finished = new Promise<void>(resolve => {
          stream.on('data', (event: proto.DecisionEvent) => {
            events.push(event);
            if (event.kind === 'finished') {
              resolve();
            }
          });
          stream.on('error', () => undefined);
        });
        await connection.status();
        await call(url, { body: chat(5) });
        await finished;
        t.deepEqual(
          events.map(({ kind }) => kind),
          ['admitted', 'queued', 'routed', 'finished'],
        );
        stream.cancel();
        connection.close();
      });
    });

    it('drains a backend server on every instance', async t => {
      await withFleet(async fleet => {
        const connection = fleet.operator(1);
        const { revision } = await connection.drain({
          changeId: 'drain-1',
          backendServer: 'engine-1',
          leaving: true,
        });
        await fleet.whenInForce(revision);
        for (const url of fleet.callerUrls) {
          await call(url, { body: chat(5) });
        }
        const [engine] = fleet.engines;
        const counts = await fleet.read(engine?.url ?? '', '/control/counts');
        t.deepEqual(counts, { generatedTokens: 0 });
        const repeated = await connection.drain({
          changeId: 'drain-1',
          backendServer: 'engine-1',
          leaving: true,
        });
        t.deepEqual(repeated, { revision, repeated: true });
        const { entries } = await connection.audit({
          afterRevision: revision - 1,
          limit: 5,
        });
        t.is(entries[0]?.operator, 'local-operator');
        connection.close();
      });
    });

    it('refuses an unknown operator', async t => {
      await withFleet(async fleet => {
        const { OperatorConnection } = await import('@jujubecroft/operator');
        const [instance] = fleet.instances;
        const stranger = new OperatorConnection(
          instance?.controlAddress ?? '',
          'guess',
        );
        await t.throwsAsync(stranger.status(), { message: /4005/ });
        stranger.close();
      });
    });
  });

  suite.describe('stops and starts', ({ it }) => {
    it('finishes streams in flight and leaves the addresses', async t => {
      // A planned stop cuts a draft in half, or callers keep being sent to an
      // instance that is gone.
      await withFleet(async (fleet, url) => {
        const answer = call(url, { body: chat(300) });
        await busyEngine(fleet);
        const stopped = fleet.instances[0]?.stop();
        const { status, text } = await answer;
        t.is(status, 200);
        const { choices } = answerSchema.parse(JSON.parse(text));
        t.is(choices[0]?.message.content, expectedAnswer(MESSAGES, 300));
        const other = await call(fleet.callerUrls[1] ?? '', {
          path: '/v1/addresses',
          method: 'GET',
        });
        const { addresses } = addressesSchema.parse(JSON.parse(other.text));
        t.false(addresses.some(({ instance }) => instance === 'entry-1'));
        await stopped;
        fleet.instances.shift();
      });
    });

    it('does not let callers keep the answer of a new instance for long', t => {
      // All callers hang on one instance and fail when it is replaced. It had
      // just started, knew no other yet, and its answer was kept.
      return withFleet(async (_fleet, url) => {
        const reply = await call(url, { path: '/v1/addresses', method: 'GET' });
        const { keep_seconds: keep } = keepSchema.parse(JSON.parse(reply.text));
        t.true(keep <= 1);
      });
    });

    it('starts from a peer while the platform is down', async t => {
      // An instance that is replaced during an outage never serves. Table and
      // list are down, yet its peers hold the configuration.
      await withFleet(async fleet => {
        const before = fleet.instances[0]?.context.host.configuration;
        await fleet.setFaults(fleet.platformUrl, { failTable: true });
        const added = await fleet.addInstance(3);
        t.deepEqual(added.context.host.configuration, before);
      });
    });
  });
});

/** Waits for an engine that generates, and says which. */
async function busyEngine(fleet: LocalFleet): Promise<string> {
  const countSchema = z.object({ generatedTokens: z.number() });
  for (let tries = 0; tries < 400; tries += 1) {
    for (const { url } of fleet.engines) {
      const counts = await fleet.read(url, '/control/counts');
      if (countSchema.parse(counts).generatedTokens > 3) {
        return url;
      }
    }
    await new Promise(resolve => setTimeout(resolve, 5));
  }
  throw new Error('no engine generates');
}
