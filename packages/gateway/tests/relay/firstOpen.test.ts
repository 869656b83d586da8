import { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { describe } from '@jujubecroft/testing';

import type { OpenWay } from '../../src/relay/firstOpen.js';
import { firstOpen } from '../../src/relay/firstOpen.js';

const STAGGER_MS = 20;
const SLOW_MS = 60;
const NEVER = new AbortController().signal;

/** Creates a way that opens a connection, or fails, after some time. */
function wayAfter(ms: number, socket: Socket | null): OpenWay {
  return async () => {
    await sleep(ms);
    if (!socket) {
      throw new Error(`failed after ${ms} ms`);
    }
    return socket;
  };
}

describe('firstOpen', ({ it }) => {
  it('asks nobody else while the first way succeeds at once', async t => {
    const first = new Socket();
    let asked = 0;
    const second: OpenWay = () => {
      asked += 1;
      return Promise.resolve(new Socket());
    };
    t.is(
      await firstOpen([wayAfter(0, first), second], STAGGER_MS, NEVER),
      first,
    );
    await sleep(2 * STAGGER_MS);
    t.is(asked, 0);
  });

  it('goes on at once after a failure, and after a while without an answer', async t => {
    const open = new Socket();
    let hasSlowFailed = false;
    const slow: OpenWay = async () => {
      await sleep(SLOW_MS);
      hasSlowFailed = true;
      throw new Error(`failed after ${SLOW_MS} ms`);
    };
    const ways = [wayAfter(0, null), slow, () => Promise.resolve(open)];
    t.is(await firstOpen(ways, STAGGER_MS, NEVER), open);
    t.false(hasSlowFailed);
  });

  it('closes a connection that opens too late', async t => {
    const [late, open] = [new Socket(), new Socket()];
    const ways = [wayAfter(SLOW_MS, late), wayAfter(0, open)];
    t.is(await firstOpen(ways, STAGGER_MS, NEVER), open);
    await sleep(SLOW_MS);
    t.true(late.destroyed);
    t.false(open.destroyed);
  });

  it('fails when all ways fail, and without any', async t => {
    const ways = [wayAfter(0, null), wayAfter(1, null)];
    await t.throwsAsync(firstOpen(ways, STAGGER_MS, NEVER));
    await t.throwsAsync(firstOpen([], STAGGER_MS, NEVER));
  });

  it('uses no connection that opens after it was aborted', async t => {
    const abort = new AbortController();
    const open = new Socket();
    const way: OpenWay = async signal => {
      abort.abort();
      await sleep(1);
      signal.throwIfAborted();
      return open;
    };
    await t.throwsAsync(firstOpen([way], STAGGER_MS, abort.signal), {
      any: true,
    });
  });
});
