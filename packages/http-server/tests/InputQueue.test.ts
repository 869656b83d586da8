import { setImmediate as nextTurn } from 'node:timers/promises';
import { describe } from '@jujubecroft/testing';

import { InputQueue } from '../src/clients/InputQueue.js';

describe('InputQueue', ({ it }) => {
  // Guards against a turn of the event loop that lasts for as long as clients send ahead.
  it('calls a few functions in a turn, in the order in which they were added', async t => {
    let nowMs = 0;
    const queue = new InputQueue(() => nowMs);
    const called: number[] = [];
    const names = Array.from({ length: 7 }, (_, index) => index);
    names.forEach(name => {
      queue.add(() => {
        nowMs += 0.4;
        called.push(name);
      });
    });
    t.deepEqual(called, []);
    await nextTurn();
    t.deepEqual(called, [0, 1, 2]);
    await nextTurn();
    t.deepEqual(called, [0, 1, 2, 3, 4, 5]);
    await nextTurn();
    t.deepEqual(called, names);
  });

  // Guards against a connection that goes on for as long as its requests are answered at once.
  it('calls a function that is added again in a later turn, behind others', async t => {
    const queue = new InputQueue(() => 0);
    const called: string[] = [];
    const again = (): void => {
      called.push('again');
      if (called.length < 3) {
        queue.add(again);
      }
    };
    queue.add(again);
    queue.add(again);
    queue.add(() => {
      called.push('other');
    });
    await nextTurn();
    t.deepEqual(called, ['again', 'other']);
    await nextTurn();
    t.deepEqual(called, ['again', 'other', 'again']);
  });
});
