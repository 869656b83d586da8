import { describe } from '@jujubecroft/testing';
import { expectedAnswer } from '@jujubecroft/stand-ins';

import {
  answerSchema,
  cacheTimeSchema,
  addressesSchema,
  MESSAGES,
  withFleet,
  sendCall,
  chatBody,
  waitForBusyEngine,
} from './wholePathFixture.js';

/** Time that a stopping instance keeps listening, so that the others learn of its stop. */
const LEAVE_NOTICE_MS = 1500;
const POLL_INTERVAL_MS = 20;

async function listsInstance(url: string, instance: string): Promise<boolean> {
  const { text } = await sendCall(url, {
    path: '/v1/addresses',
    method: 'GET',
  });
  const { addresses } = addressesSchema.parse(JSON.parse(text));
  return addresses.some(entry => entry.instance === instance);
}

/** Waits until no instance lists the given one any more; returns whether that happened in time. */
async function isDelisted(
  urls: readonly string[],
  instance: string,
  withinMs: number,
): Promise<boolean> {
  const deadlineMs = performance.now() + withinMs;
  const isListed = async (): Promise<boolean> => {
    const answers = await Promise.all(
      urls.map(url => listsInstance(url, instance)),
    );
    return answers.includes(true);
  };
  let isStillListed = await isListed();
  while (isStillListed && performance.now() < deadlineMs) {
    await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
    isStillListed = await isListed();
  }
  return !isStillListed;
}

describe('whole path', suite => {
  suite.describe('stops and starts of instances', ({ it }) => {
    it('a stopping instance finishes answers in flight and leaves the address list', async t => {
      // Guards against a planned stop that cuts an answer, and against callers being
      // sent to an instance that is gone. On a busy machine the answer may end within
      // 20 ms of the stop, before the others learn of it; the instance keeps listening
      // until they have.
      await withFleet(async (fleet, url) => {
        const answer = sendCall(url, { body: chatBody(300) });
        await waitForBusyEngine(fleet);
        const stopped = fleet.instances[0]?.stop();
        const { status, text } = await answer;
        t.is(status, 200);
        const { choices } = answerSchema.parse(JSON.parse(text));
        t.is(choices[0]?.message.content, expectedAnswer(MESSAGES, 300));
        const others = fleet.callerUrls.slice(1);
        t.true(await isDelisted(others, 'entry-1', LEAVE_NOTICE_MS));
        await stopped;
        fleet.instances.shift();
        t.true(await isDelisted(others, 'entry-1', 0));
      });
    });

    it('a new instance lets callers cache its address list for a second at most', t => {
      // Guards against all callers depending on one instance and failing when it is
      // replaced: an instance that has just started knows no other yet, and callers
      // cached its address list.
      return withFleet(async (_fleet, url) => {
        const reply = await sendCall(url, {
          path: '/v1/addresses',
          method: 'GET',
        });
        const { keep_seconds: keepSeconds } = cacheTimeSchema.parse(
          JSON.parse(reply.text),
        );
        t.true(keepSeconds <= 1);
      });
    });

    it('starts from a peer while the platform is down', async t => {
      // Guards against an instance that is replaced during an outage never serving:
      // the table and the instance list are down, but its peers have the configuration.
      await withFleet(async fleet => {
        const before = fleet.instances[0]?.context.host.configuration;
        await fleet.setFaults(fleet.platformUrl, { failTable: true });
        const added = await fleet.addInstance(3);
        t.deepEqual(added.context.host.configuration, before);
      });
    });
  });
});
