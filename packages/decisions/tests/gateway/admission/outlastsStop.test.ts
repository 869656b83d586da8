import { describe } from '@jujubecroft/testing';

import { outlastsStop } from '../../../src/index.js';

const PLAN = { strictFromMs: 2400, untilMs: 7600 };

describe('outlastsStop', ({ it }) => {
  // A chef's answer is cut in its last line: the instance was asked to stop four
  // seconds before, callers still held its address, and the stream took longer
  // than predicted.
  const rows: readonly (readonly [string, number, number, number, boolean])[] =
    [
      ['early and short', 500, 2000, 15_500, false],
      ['early and too long', 500, 5000, 15_500, true],
      ['late, though predicted to end in time', 3750, 2300, 18_750, true],
      ['late, with a time limit that ends in time', 3750, 100, 5750, false],
      ['late, with a time limit that ends just behind', 3750, 100, 7601, true],
    ];
  rows.forEach(([title, nowMs, predictedMs, deadlineMs, wanted]) => {
    it(`${wanted ? 'turns away' : 'takes'} what comes ${title}`, t => {
      t.is(outlastsStop({ deadlineMs }, predictedMs, nowMs, PLAN), wanted);
    });
  });

  it('takes everything while no stop was asked for', t => {
    t.false(outlastsStop({ deadlineMs: 1e9 }, 1e9, 0, null));
  });
});
