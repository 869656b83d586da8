import { describe } from '@jujubecroft/testing';

import { FreshView } from '../../src/streams/FreshView.js';
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
});
