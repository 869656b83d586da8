import { describe } from '@jujubecroft/testing';

import { StalledUploads } from '../../src/front/StalledUploads.js';

const SINCE_MS = 5000;

/** Uploads with the given sizes and times, and which of them were refused. */
function createFixture(
  uploads: readonly { readonly length: number; readonly progressMs: number }[],
): { readonly stalled: StalledUploads; readonly refused: number[] } {
  const refused: number[] = [];
  const stalled = new StalledUploads(() => SINCE_MS);
  uploads.forEach(({ length, progressMs }) => {
    const refuse = (): void => {
      refused.push(length);
    };
    stalled.add({ length, progressMs, refuse });
  });
  return { stalled, refused };
}

describe('StalledUploads', ({ it }) => {
  it('refuses the largest stalled bodies until there is room', t => {
    const { stalled, refused } = createFixture([
      { length: 10, progressMs: 0 },
      { length: 30, progressMs: 0 },
      { length: 20, progressMs: 0 },
    ]);
    t.true(stalled.makeRoom(() => refused.length === 2));
    t.deepEqual(refused, [30, 20]);
  });

  // Guards against uploads that are refused though their callers go on sending.
  it('refuses none whose caller goes on sending', t => {
    const { stalled, refused } = createFixture([
      { length: 30, progressMs: SINCE_MS - 500 },
    ]);
    t.false(stalled.makeRoom(() => false));
    t.deepEqual(refused, []);
  });
});
