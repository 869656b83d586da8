import fc from 'fast-check';
import { describe } from '@jujubecroft/testing';

import { SseBoundary } from '../../src/forward/SseBoundary.js';

function isInsideEvent(...chunks: readonly string[]): boolean {
  const boundary = new SseBoundary();
  chunks.forEach(chunk => {
    boundary.push(Buffer.from(chunk));
  });
  return boundary.isInsideEvent;
}

describe('SseBoundary', ({ it }) => {
  it('is between events at the start, after a blank line and after comments', t => {
    t.false(isInsideEvent());
    t.false(isInsideEvent('data: a\n\n'));
    t.false(isInsideEvent('data: a\r\n\r\n'));
    t.false(isInsideEvent('data: a\r\r'));
    t.false(isInsideEvent('data: a\n\n: ping\n'));
    t.false(isInsideEvent('data: a\n\n: pi'));
    t.false(isInsideEvent('data: a\n\n\n'));
  });

  it('is inside an event from its first byte to its blank line', t => {
    t.true(isInsideEvent('d'));
    t.true(isInsideEvent('data: a'));
    t.true(isInsideEvent('data: a\n'));
    t.true(isInsideEvent('data: a\r\n'));
    t.true(isInsideEvent('data: a\n: ping\n'));
    t.true(isInsideEvent('data: a\n\nid: 2'));
  });

  it('comes to the same result however the stream is split into chunks', t => {
    const lineEnds = fc.constantFrom('\n', '\r\n', '\r');
    const lines = fc.constantFrom('id: 1', 'data: a', ': ping', '');
    fc.assert(
      fc.property(
        fc.array(fc.tuple(lines, lineEnds)),
        fc.array(fc.integer({ min: 1, max: 9 }), { minLength: 1 }),
        (parts, sizes) => {
          const text = parts.map(part => part.join('')).join('');
          const chunks: string[] = [];
          let offset = 0;
          for (let index = 0; offset < text.length; index += 1) {
            const size = sizes[index % sizes.length] ?? 1;
            chunks.push(text.slice(offset, offset + size));
            offset += size;
          }
          t.is(isInsideEvent(...chunks), isInsideEvent(...Array.from(text)));
        },
      ),
      { seed: 57, numRuns: 500 },
    );
  });
});
