import { describe } from '@jujubecroft/testing';

import { FramingLimit } from '../../src/responses/FramingLimit.js';

const READ_BYTES = 64 * 1024;
const READS = 400;

/** Reads the same amount many times, of which `share` is body. */
function keepsLimit(share: number): boolean {
  const limit = new FramingLimit();
  return Array.from({ length: READS }).every((_, index) =>
    limit.onRead(READ_BYTES, Math.floor((index + 1) * READ_BYTES * share)),
  );
}

describe('FramingLimit', ({ it }) => {
  it('allows small chunks of any number, of the size of short events', t => {
    t.true(keepsLimit(10 / 16));
  });

  it('allows a large head', t => {
    t.true(new FramingLimit().onRead(READ_BYTES, 0));
  });

  // Guards against blank lines, interim responses or trailers without end.
  it('refuses bytes outside the body without end', t => {
    t.false(keepsLimit(0));
  });

  // Guards against chunks of one byte, each of which takes as much processor time as an
  // event, and against extensions that make up nearly all that is read.
  [1 / 6, 1 / 1000].forEach(share => {
    it(`refuses framing without end that outweighs a body of ${share.toFixed(3)}`, t => {
      t.false(keepsLimit(share));
    });
  });

  it('allows a short body in chunks of one byte', t => {
    const limit = new FramingLimit();
    t.true(limit.onRead(6 * 20_000, 20_000));
  });

  it('allows no more framing after a large body than after a small one', t => {
    const limit = new FramingLimit();
    t.true(limit.onRead(1000 * READ_BYTES, 1000 * READ_BYTES));
    t.true(limit.onRead(READ_BYTES, 1000 * READ_BYTES));
    t.true(limit.onRead(READ_BYTES, 1000 * READ_BYTES));
    t.false(limit.onRead(READ_BYTES, 1000 * READ_BYTES));
  });
});
