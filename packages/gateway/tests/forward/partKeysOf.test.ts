import type { OrganisationId, PromptMetadata } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';
import { describe } from '@jujubecroft/testing';

import { partKeysOf } from '../../src/forward/partKeysOf.js';

const OWNER = brand<OrganisationId>('org-1');
const MAX_PARTS = 64;

function promptOf(...ids: string[]): PromptMetadata {
  return {
    promptTokens: 100,
    maxOutputTokens: 10,
    parts: ids.map(id => ({ id, tokens: 10 })),
    expectedOutputTokens: null,
  };
}

describe('partKeysOf', ({ it }) => {
  it('leaves out the last part, and repeats', t => {
    t.is(partKeysOf(promptOf('a', 'b', 'a', 'own'), OWNER).length, 2);
    t.deepEqual(partKeysOf(promptOf('own'), OWNER), []);
    t.deepEqual(partKeysOf(null, OWNER), []);
  });

  it('gives a part the same key wherever it stands', t => {
    const [first] = partKeysOf(promptOf('a', 'b', 'own'), OWNER);
    const [, second] = partKeysOf(promptOf('c', 'a', 'other'), OWNER);
    t.is(first, second);
  });

  // Guards against an organisation that gets the requests of another barred.
  it('gives the parts of organisations different keys', t => {
    const prompt = promptOf('a', 'own');
    t.notDeepEqual(
      partKeysOf(prompt, OWNER),
      partKeysOf(prompt, brand<OrganisationId>('org-2')),
    );
  });

  it('bounds the number of parts', t => {
    const ids = Array.from({ length: 500 }, (_, index) => `p${index}`);
    t.is(partKeysOf(promptOf(...ids), OWNER).length, MAX_PARTS);
  });
});
