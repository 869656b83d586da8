import { describe } from '@jujubecroft/testing';
import type { proto } from '@jujubecroft/operator';
import { expectedAnswer } from '@jujubecroft/stand-ins';

import {
  answerSchema,
  withFleet,
  sendCall,
  chatBody,
  waitForBusyEngine,
} from './wholePathFixture.js';

describe('whole path', suite => {
  suite.describe('engines', ({ it }) => {
    it('an answer is complete although its engine crashes in the middle of it', async t => {
      // Guards against an answer that ends early because its engine crashed, although
      // two other engines could have continued it.
      await withFleet(async (fleet, url) => {
        const messages = [{ role: 'user', content: 'long answer please 3' }];
        const body = JSON.stringify({
          model: 'chef-small',
          messages,
          max_tokens: 400,
        });
        const answer = sendCall(url, { body });
        const serving = await waitForBusyEngine(fleet);
        await fleet.setFaults(serving, { crashed: true });
        const { text } = await answer;
        const { choices } = answerSchema.parse(JSON.parse(text));
        t.is(choices[0]?.message.content, expectedAnswer(messages, 400));
      });
    });
  });

  suite.describe('operators', ({ it }) => {
    it('reports the decisions on a request to a watching operator', async t => {
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
        await sendCall(url, { body: chatBody(5) });
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
        await fleet.waitUntilInForce(revision);
        for (const url of fleet.callerUrls) {
          await sendCall(url, { body: chatBody(5) });
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

    it('refuses an operator with an unknown token', async t => {
      await withFleet(async fleet => {
        const { OperatorConnection } = await import('@jujubecroft/operator');
        const [instance] = fleet.instances;
        const unknownOperator = new OperatorConnection(
          instance?.controlAddress ?? '',
          'guess',
        );
        await t.throwsAsync(unknownOperator.status(), { message: /4005/ });
        unknownOperator.close();
      });
    });
  });
});
