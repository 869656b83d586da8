import { describe } from '@jujubecroft/testing';

import { outlastsStop } from '../../../src/index.js';

const PLAN = { strictFromMs: 2400, untilMs: 7600 };

describe('outlastsStop', ({ it }) => {
  // Guards against cutting a stream near its end: the instance was asked to stop
  // four seconds before, callers still used its address, and the stream took
  // longer than predicted.
  const rows: readonly (readonly [string, number, number, number, boolean])[] =
    [
      [
        'early in the shutdown with a short prediction',
        500,
        2000,
        15_500,
        false,
      ],
      [
        'early in the shutdown with too long a prediction',
        500,
        5000,
        15_500,
        true,
      ],
      [
        'late in the shutdown, though predicted to end in time',
        3750,
        2300,
        18_750,
        true,
      ],
      [
        'late in the shutdown with a time limit that ends in time',
        3750,
        100,
        5750,
        false,
      ],
      [
        'late in the shutdown with a time limit that ends just too late',
        3750,
        100,
        7601,
        true,
      ],
    ];
  rows.forEach(([title, nowMs, predictedMs, deadlineMs, wanted]) => {
    it(`${wanted ? 'refuses' : 'admits'} a request ${title}`, t => {
      t.is(outlastsStop({ deadlineMs }, predictedMs, nowMs, PLAN), wanted);
    });
  });

  it('admits every request while no shutdown is requested', t => {
    t.false(outlastsStop({ deadlineMs: 1e9 }, 1e9, 0, null));
  });
});
