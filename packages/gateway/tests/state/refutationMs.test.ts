import { describe } from '@jujubecroft/testing';

import { refutationMs } from '../../src/state/refutationMs.js';

describe('refutationMs', ({ it }) => {
  it('grows with the logarithm of the fleet size', t => {
    t.is(refutationMs(0), 1200);
    t.is(refutationMs(8), 1200);
    t.is(refutationMs(64), 2400);
    t.true(refutationMs(195) > 3000 && refutationMs(195) < 3100);
  });
});
