import { once } from 'node:events';
import type { AddressInfo, Socket } from 'node:net';
import { connect, createServer } from 'node:net';
import { describe } from '@jujubecroft/testing';

import { FreshView } from '../../src/streams/FreshView.js';
import { RUNTIME_TIMERS } from '../../src/util/runtimeTimers.js';
import { createVirtualTimers } from '../helpers/createVirtualTimers.js';
import { VirtualProcess, VirtualTime } from '../helpers/VirtualTime.js';

interface Reads {
  readonly view: FreshView;
  /** Ends the oldest read that has not ended. */
  readonly answer: (isAnswered: boolean) => void;
  readonly count: () => number;
  readonly time: VirtualTime;
}

function createReads(): Reads {
  const time = new VirtualTime();
  const open: ((isAnswered: boolean) => void)[] = [];
  let count = 0;
  const timers = createVirtualTimers(time, new VirtualProcess());
  const view = new FreshView(timers, () => {
    count += 1;
    return new Promise(resolve => open.push(resolve));
  });
  return {
    view,
    answer: isAnswered => open.shift()?.(isAnswered),
    count: () => count,
    time,
  };
}

/** Occupies the event loop, as a process does that gets no processor time. */
function stall(ms: number): void {
  const untilMs = performance.now() + ms;
  while (performance.now() < untilMs) {
    // Nothing else may run meanwhile.
  }
}

describe('FreshView', ({ it }) => {
  // Guards against a read whose answer left the store before the question came up.
  it('waits for a read that begins after the call', async t => {
    const { view, answer, count, time } = createReads();
    void view.confirm();
    let isConfirmed = false;
    void view.confirm().then(confirmed => {
      isConfirmed = confirmed;
    });
    answer(true);
    await time.run(1);
    t.false(isConfirmed);
    t.is(count(), 2);
    answer(true);
    await time.run(1);
    t.true(isConfirmed);
  });

  // Guards against a refusal whenever a kept connection to the store was reset.
  it('reads once more after a failure', async t => {
    const { view, answer, count, time } = createReads();
    const confirmed = view.confirm();
    answer(false);
    await time.run(1);
    t.is(count(), 2);
    answer(true);
    await time.run(1);
    t.true(await confirmed);
  });

  // Guards against callers that wait for a store that doesn't answer.
  it('gives up in time', async t => {
    const { view, time } = createReads();
    const confirmed = view.confirm();
    await time.run(1000);
    t.false(await confirmed);
  });

  // Guards against a delay of the own process that counts as silence of the store.
  it('uses an answer that arrived while its process stood still', async t => {
    const server = createServer().listen(0, '127.0.0.1');
    await once(server, 'listening');
    const accepted = once(server, 'connection');
    const client = connect((server.address() as AddressInfo).port, '127.0.0.1');
    const [store] = (await accepted) as [Socket];
    const view = new FreshView(RUNTIME_TIMERS, () =>
      once(client, 'data').then(() => true),
    );
    const confirmed = view.confirm();
    store.write('answer');
    stall(600);
    const isConfirmed = await confirmed;
    client.destroy();
    store.destroy();
    server.close();
    t.true(isConfirmed);
  });
});
