import { describe } from '@jujubecroft/testing';

import { BufferBudget } from '../../src/responses/BufferBudget.js';
import { GrowingBuffer } from '../../src/responses/GrowingBuffer.js';

const KIB = 1024;

describe('GrowingBuffer', ({ it }) => {
  it('returns the bytes of all chunks in order', t => {
    const buffer = new GrowingBuffer(new BufferBudget());
    const text = Array.from({ length: 3000 }, (_, index) => `${index},`);
    text.forEach(chunk => {
      buffer.append(Buffer.from(chunk));
    });
    t.is(buffer.length, text.join('').length);
    t.is(buffer.take().toString(), text.join(''));
    t.is(buffer.length, 0);
  });

  it('takes its memory from the budget and returns it', t => {
    const budget = new BufferBudget(8 * KIB);
    const buffer = new GrowingBuffer(budget);
    t.true(buffer.append(Buffer.alloc(3 * KIB)));
    t.is(budget.usedBytes, 3 * KIB);
    buffer.take();
    t.is(budget.usedBytes, 0);
  });

  // Guards against memory without bound where many responses never end.
  it('refuses a chunk that the budget has no room for, and keeps the others', t => {
    const budget = new BufferBudget(8 * KIB);
    const first = new GrowingBuffer(budget);
    const second = new GrowingBuffer(budget);
    t.true(first.append(Buffer.alloc(5 * KIB)));
    t.false(second.append(Buffer.alloc(4 * KIB)));
    t.is(second.length, 0);
    t.is(first.take().length, 5 * KIB);
    t.true(second.append(Buffer.alloc(4 * KIB)));
  });
});
