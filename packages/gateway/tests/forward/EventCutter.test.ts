import fc from 'fast-check';
import { describe } from '@jujubecroft/testing';

import { EventCutter } from '../../src/forward/EventCutter.js';

const stream = (count: number): string =>
  Array.from(
    { length: count },
    (_, index) => `id: ${index + 1}\ndata: piece ${index + 1}\n\n`,
  ).join('');

describe('EventCutter', ({ it }) => {
  it('hands out whole events only, wherever the network cuts', t => {
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 6 }),
        fc.array(fc.integer({ min: 1, max: 40 }), { minLength: 1 }),
        (count, sizes) => {
          const bytes = Buffer.from(stream(count));
          const cutter = new EventCutter(null);
          let at = 0;
          let out = '';
          for (let turn = 0; at < bytes.length; turn += 1) {
            const size = sizes[turn % sizes.length] ?? 1;
            out += cutter.push(bytes.subarray(at, at + size)).toString();
            at += size;
            t.true(out === '' || out.endsWith('\n\n'));
            const whole = out.split('\n\n').length - 1;
            t.is(cutter.lastId, whole === 0 ? null : String(whole));
          }
          t.is(out, stream(count));
          t.is(cutter.takeRest().length, 0);
        },
      ),
      { seed: 20_261, numRuns: 200 },
    );
  });

  it('forgets a torn event when another replica goes on', t => {
    const cutter = new EventCutter(null);
    cutter.push(Buffer.from('id: 1\ndata: a\n\nid: 2\ndata: to'));
    cutter.startOver();
    const out = cutter.push(Buffer.from('id: 2\ndata: b\n\n')).toString();
    t.is(out, 'id: 2\ndata: b\n\n');
    t.is(cutter.lastId, '2');
  });

  it('begins with the event that the caller already has', t => {
    t.is(new EventCutter('7').lastId, '7');
  });
});
