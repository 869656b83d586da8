import fc from 'fast-check';
import type { PromptPart } from '@jujubecroft/types';
import { describe } from '@jujubecroft/testing';

import {
  PromptCacheEstimate,
  prefixesOf,
} from '../../src/gateway/PromptCacheEstimate.js';

const CAPACITY_TOKENS = 700_000;
/** Most parts that the largest head allows. */
const MAX_PARTS = 4096;

function parts(
  count: number,
  tokens: number,
  name: string,
): readonly PromptPart[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `${name}${index.toString(16)}`,
    tokens,
  }));
}

function cached(
  estimate: PromptCacheEstimate,
  prompt: readonly PromptPart[],
): number {
  return estimate.cachedTokens(prefixesOf(prompt));
}

describe('PromptCacheEstimate', ({ it, itAlone }) => {
  it('knows what prompts have in common with earlier ones', t => {
    const estimate = new PromptCacheEstimate(CAPACITY_TOKENS);
    const shared = parts(3, 500, 'a');
    estimate.onRead([...shared, { id: 'own', tokens: 900 }]);
    t.is(cached(estimate, [...shared, { id: 'other', tokens: 900 }]), 1500);
    t.is(cached(estimate, [...shared, { id: 'own', tokens: 900 }]), 2400);
    t.is(cached(estimate, shared.slice(1)), 0);
  });

  it('knows shared beginnings of many small parts', t => {
    const estimate = new PromptCacheEstimate(CAPACITY_TOKENS);
    const shared = parts(450, 12, 'a');
    estimate.onRead([...shared, ...parts(550, 12, 'b')]);
    const known = cached(estimate, [...shared, ...parts(550, 12, 'c')]);
    t.true(known > 0.98 * 450 * 12);
    t.true(known <= 450 * 12);
  });

  it('never counts more than two prompts have in common', t => {
    const part = fc.record({
      id: fc.constantFrom('1', '2', '11', '12'),
      tokens: fc.constantFrom(0, 1, 40, 64, 500),
    });
    fc.assert(
      fc.property(fc.array(part), fc.array(part), (first, second) => {
        const estimate = new PromptCacheEstimate(CAPACITY_TOKENS);
        estimate.onRead(first);
        const differs = second.findIndex(
          ({ id }, index) => first[index]?.id !== id,
        );
        const common = differs === -1 ? second : second.slice(0, differs);
        const tokens = common.reduce((sum, { tokens: own }) => sum + own, 0);
        return cached(estimate, second) <= tokens;
      }),
      { seed: 41 },
    );
    t.pass();
  });

  // Guards against prompts of many parts that fill the heap of an instance.
  [0, 1, 12, 500].forEach(tokens => {
    it(`stays small with prompts of many parts of ${tokens} tokens`, t => {
      const estimate = new PromptCacheEstimate(CAPACITY_TOKENS);
      for (let index = 0; index < 100; index += 1) {
        estimate.onRead(parts(MAX_PARTS, tokens, `p${index}-`));
        t.true(estimate.size <= 1024);
      }
    });
  });

  // Guards against a placement that holds up all other requests.
  itAlone('divides the longest prompt quickly', t => {
    const prompt = parts(MAX_PARTS, 1, '');
    const startedMs = performance.now();
    for (let round = 0; round < 20; round += 1) {
      prefixesOf(prompt);
    }
    t.true((performance.now() - startedMs) / 20 < 20);
  });
});
