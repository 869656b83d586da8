import { describe } from '@jujubecroft/testing';

import { groupBy } from '../../src/index.js';

describe('groupBy', ({ it }) => {
  it('keeps the order of items and of the first of each key', t => {
    const groups = groupBy(['pear', 'apple', 'plum'], ([first = '']) => first);
    t.deepEqual(
      [...groups],
      [
        ['p', ['pear', 'plum']],
        ['a', ['apple']],
      ],
    );
  });

  it('makes no group of nothing', t => {
    t.is(groupBy([], String).size, 0);
  });
});
