import { describe } from '@jujubecroft/testing';
import { expectedAnswer } from '@jujubecroft/stand-ins';

import {
  answerSchema,
  keepSchema,
  addressesSchema,
  MESSAGES,
  withFleet,
  call,
  chat,
  busyEngine,
} from './wholePathFixture.js';

/** A stopping instance goes on listening so long, for the others to hear of it. */
const LEAVE_SPREAD_MS = 1500;
const ASK_EVERY_MS = 20;

async function names(url: string, instance: string): Promise<boolean> {
  const { text } = await call(url, { path: '/v1/addresses', method: 'GET' });
  const { addresses } = addressesSchema.parse(JSON.parse(text));
  return addresses.some(entry => entry.instance === instance);
}

/** Whether no instance names another any more before a time is over. */
async function isForgotten(
  urls: readonly string[],
  instance: string,
  withinMs: number,
): Promise<boolean> {
  const endsMs = performance.now() + withinMs;
  const isNamed = async (): Promise<boolean> => {
    const answers = await Promise.all(urls.map(url => names(url, instance)));
    return answers.includes(true);
  };
  let isStillNamed = await isNamed();
  while (isStillNamed && performance.now() < endsMs) {
    await new Promise(resolve => setTimeout(resolve, ASK_EVERY_MS));
    isStillNamed = await isNamed();
  }
  return !isStillNamed;
}

describe('whole path', suite => {
  suite.describe('stops and starts', ({ it }) => {
    it('finishes streams in flight and leaves the addresses', async t => {
      // A planned stop cuts a draft in half, or callers keep being sent to an
      // instance that is gone. On a busy machine the draft may end within 20 ms of
      // the stop, before the leave is heard of; the instance listens until it is.
      await withFleet(async (fleet, url) => {
        const answer = call(url, { body: chat(300) });
        await busyEngine(fleet);
        const stopped = fleet.instances[0]?.stop();
        const { status, text } = await answer;
        t.is(status, 200);
        const { choices } = answerSchema.parse(JSON.parse(text));
        t.is(choices[0]?.message.content, expectedAnswer(MESSAGES, 300));
        const others = fleet.callerUrls.slice(1);
        t.true(await isForgotten(others, 'entry-1', LEAVE_SPREAD_MS));
        await stopped;
        fleet.instances.shift();
        t.true(await isForgotten(others, 'entry-1', 0));
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
