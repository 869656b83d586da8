import fc from 'fast-check';
import { describe } from '@jujubecroft/testing';

import { SseEventBuffer } from '../../src/forward/SseEventBuffer.js';
import { BufferBudget } from '../../src/responses/BufferBudget.js';

const MAX_EVENT_BYTES = 1024 * 1024;
const LINE_ENDS = ['\n', '\r\n', '\r'];

const stream = (count: number, lineEnd = '\n'): string =>
  Array.from({ length: count }, (_, index) =>
    [`id: ${index + 1}`, `data: piece ${index + 1}`, '', ''].join(lineEnd),
  ).join('');

const createBuffer = (
  lastId: string | null = null,
  budget = new BufferBudget(),
): SseEventBuffer => new SseEventBuffer(lastId, budget);

describe('SseEventBuffer', ({ it }) => {
  it('releases complete events only, wherever the stream is split into chunks', t => {
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 6 }),
        fc.array(fc.integer({ min: 1, max: 40 }), { minLength: 1 }),
        (count, sizes) => {
          const bytes = Buffer.from(stream(count));
          const buffer = createBuffer();
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
    const buffer = createBuffer();
    buffer.push(Buffer.from('id: 1\ndata: a\n\nid: 2\ndata: to'));
    buffer.discardPartial();
    const out = buffer.push(Buffer.from('id: 2\ndata: b\n\n')).toString();
    t.is(out, 'id: 2\ndata: b\n\n');
    t.is(buffer.lastId, '2');
  });

  it('starts with the id of the last event that the caller has', t => {
    t.is(createBuffer('7').lastId, '7');
  });

  LINE_ENDS.forEach(lineEnd => {
    // Guards against a stream that is kept in memory up to its end since its lines do not
    // end with LF alone; work for each chunk grew with what was kept.
    it(`releases each event when it is complete, with lines that end with ${JSON.stringify(lineEnd)}`, t => {
      fc.assert(
        fc.property(
          fc.integer({ min: 1, max: 6 }),
          fc.array(fc.integer({ min: 1, max: 40 }), { minLength: 1 }),
          (count, sizes) => {
            const text = stream(count, lineEnd);
            const buffer = createBuffer();
            let offset = 0;
            let out = '';
            for (let index = 0; offset < text.length; index += 1) {
              const size = sizes[index % sizes.length] ?? 1;
              const chunk = Buffer.from(text.slice(offset, offset + size));
              out += buffer.push(chunk).toString();
              offset += size;
              const received = text.slice(0, offset).replaceAll('\r\n', '\n');
              const events = received.replaceAll('\r', '\n').split('\n\n');
              const complete = events.length - 1;
              t.is(buffer.lastId, complete === 0 ? null : String(complete));
              t.true(stream(complete, lineEnd).startsWith(out.trimEnd()));
            }
            t.is(out, text);
            t.is(buffer.flush().length, 0);
          },
        ),
        { seed: 20_262, numRuns: 200 },
      );
    });
  });

  // Guards against memory without bound for an event that never ends.
  it('refuses an event that is too large', t => {
    const buffer = createBuffer();
    buffer.push(Buffer.from(`id: 1\ndata: a\n\ndata: `));
    buffer.push(Buffer.alloc(MAX_EVENT_BYTES - 100, 'x'));
    t.throws(() => buffer.push(Buffer.alloc(100, 'x')), {
      message: 'event is too large',
    });
    t.is(buffer.lastId, '1');
  });

  it('returns the memory of a partial event to the budget', t => {
    const budget = new BufferBudget();
    const buffer = createBuffer(null, budget);
    buffer.push(Buffer.from('data: a'));
    t.true(budget.usedBytes > 0);
    buffer.push(Buffer.from('\n\n'));
    t.is(budget.usedBytes, 0);
    buffer.push(Buffer.from('data: b'));
    buffer.discardPartial();
    t.is(budget.usedBytes, 0);
  });
});
