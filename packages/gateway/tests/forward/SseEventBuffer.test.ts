import fc from 'fast-check';
import { describe } from '@jujubecroft/testing';

import { SseEventBuffer } from '../../src/forward/SseEventBuffer.js';

const stream = (count: number): string =>
  Array.from(
    { length: count },
    (_, index) => `id: ${index + 1}\ndata: piece ${index + 1}\n\n`,
  ).join('');

describe('SseEventBuffer', ({ it }) => {
  it('releases complete events only, wherever the stream is split into chunks', t => {
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 6 }),
        fc.array(fc.integer({ min: 1, max: 40 }), { minLength: 1 }),
        (count, sizes) => {
          const bytes = Buffer.from(stream(count));
          const buffer = new SseEventBuffer(null);
          let offset = 0;
          let out = '';
          for (let index = 0; offset < bytes.length; index += 1) {
            const size = sizes[index % sizes.length] ?? 1;
            out += buffer
              .push(bytes.subarray(offset, offset + size))
              .toString();
            offset += size;
            t.true(out === '' || out.endsWith('\n\n'));
            const complete = out.split('\n\n').length - 1;
            t.is(buffer.lastId, complete === 0 ? null : String(complete));
          }
          t.is(out, stream(count));
          t.is(buffer.flush().length, 0);
        },
      ),
      { seed: 20_261, numRuns: 200 },
    );
  });

  it('discards a partial event when another replica resumes the stream', t => {
    const buffer = new SseEventBuffer(null);
    buffer.push(Buffer.from('id: 1\ndata: a\n\nid: 2\ndata: to'));
    buffer.discardPartial();
    const out = buffer.push(Buffer.from('id: 2\ndata: b\n\n')).toString();
    t.is(out, 'id: 2\ndata: b\n\n');
    t.is(buffer.lastId, '2');
  });

  it('starts with the id of the last event that the caller has', t => {
    t.is(new SseEventBuffer('7').lastId, '7');
  });
});
