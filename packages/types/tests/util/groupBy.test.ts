import { describe } from '@jujubecroft/testing';

import { groupBy } from '../../src/index.js';

describe('groupBy', ({ it }) => {
  it('keeps the order of the items and of the first item of each key', t => {
    const groups = groupBy(['pear', 'apple', 'plum'], ([first = '']) => first);
    t.deepEqual(
      [...groups],
      [
        ['p', ['pear', 'plum']],
        ['a', ['apple']],
      ],
    );
  });

  it('returns no groups for an empty list', t => {
    t.is(groupBy([], String).size, 0);
  });
});
