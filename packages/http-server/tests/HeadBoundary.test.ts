import * as fc from 'fast-check';
import { describe } from '@jujubecroft/testing';

import { HeadBoundary } from '../src/clients/HeadBoundary.js';

/** Divides input that arrives in some reads into pieces. */
function piecesOf(reads: readonly string[]): readonly string[] {
  const boundary = new HeadBoundary();
  return reads.flatMap(read => {
    let rest = Buffer.from(read, 'latin1');
    const pieces: string[] = [];
    while (rest.length > 0) {
      const piece = rest.subarray(0, boundary.next(rest));
      boundary.onPassed(piece);
      pieces.push(piece.toString('latin1'));
      rest = rest.subarray(piece.length);
    }
    return pieces;
  });
}

/** Number of heads that end inside a text, or with it. */
const headsIn = (text: string): number => text.split('\r\n\r\n').length - 1;

const HEAD = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';

describe('HeadBoundary', ({ it }) => {
  it('ends a piece with each head', t => {
    t.deepEqual(piecesOf([HEAD + HEAD + HEAD.slice(0, 9)]), [
      HEAD,
      HEAD,
      HEAD.slice(0, 9),
    ]);
  });

  it('ends a piece with the last head of input that is shorter than it should be', t => {
    const input = Buffer.from(HEAD + HEAD + HEAD.slice(0, 9));
    t.is(new HeadBoundary().next(input, 256), 2 * HEAD.length);
  });

  it('passes no more than needed of empty lines before a head', t => {
    const lines = Buffer.from('\r\n'.repeat(100) + HEAD);
    t.is(new HeadBoundary().next(lines, 18), 18);
  });

  // Guards against a piece with two heads, of which the first one ends in two reads.
  it('finds the end of a head that is divided between reads in any way', t => {
    const text = HEAD.repeat(4);
    fc.assert(
      fc.property(
        fc.array(fc.integer({ min: 0, max: text.length }), { maxLength: 12 }),
        cuts => {
          const places = [0, ...cuts, text.length].sort((a, b) => a - b);
          const reads = places
            .slice(1)
            .map((place, index) => text.slice(places[index], place));
          const pieces = piecesOf(reads);
          const ends = pieces.map((_, index) =>
            headsIn(pieces.slice(0, index + 1).join('')),
          );
          const most = ends.map(
            (count, index) => count - (ends[index - 1] ?? 0),
          );
          return pieces.join('') === text && Math.max(...most) === 1;
        },
      ),
    );
    t.pass();
  });
});
