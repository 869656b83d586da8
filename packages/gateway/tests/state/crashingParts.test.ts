import { describe } from '@jujubecroft/testing';

import type { CrashingLoad } from '../helpers/CrashingParts.js';
import { CrashingParts, partKey } from '../helpers/CrashingParts.js';

/**
 * Number of requests that may still reach a replica after all instances must know the
 * fifth crash.
 */
const MAX_LATE = 3;
/** Least share of the other requests that are answered at the first try. */
const MIN_ANSWERED = 0.5;

const LOAD: Omit<CrashingLoad, 'instances' | 'propagationMs' | 'seed'> = {
  forMs: 20_000,
  poison: [partKey('poison')],
  share: 0.1,
  place: 'second',
};

const SIZES = [
  { instances: 6, propagationMs: 3000, seeds: [1, 2, 3] },
  { instances: 60, propagationMs: 4000, seeds: [1, 2] },
  { instances: 195, propagationMs: 5000, seeds: [1] },
];

const KINDS: Readonly<Record<string, Partial<CrashingLoad>>> = {
  'the first part crashes replicas': { place: 'first' },
  'the part before the last crashes replicas': { place: 'beforeLast' },
  'one request of a hundred crashes replicas': { share: 0.01, forMs: 40_000 },
  'one request of five crashes replicas': { share: 0.2 },
  'two parts crash replicas': { poison: [partKey('poison'), partKey('toxin')] },
  'replicas crash nine times of ten': { crashProbability: 0.9 },
  'a part crashes replicas after it was served': { crashesFromMs: 8000 },
  'other crashes happen as well': { meanOtherCrashMs: 2000 },
};

// Guards against requests that crash one replica after another and are alike in one part
// of their prompts alone.
describe('requests with a prompt part that has crashed five replicas are no longer sent', ({
  itAlone,
}) => {
  SIZES.forEach(({ instances, propagationMs, seeds }) => {
    itAlone(`at ${instances} instances`, async t => {
      for (const seed of seeds) {
        const load = { ...LOAD, instances, propagationMs, seed };
        const outcome = await new CrashingParts(load).run();
        const { answered, barred, other } = outcome.sound;
        const all = answered + barred + other;
        t.log(JSON.stringify(outcome));
        t.true(outcome.crashes >= 3);
        t.true(outcome.late <= MAX_LATE);
        t.true(answered / all > MIN_ANSWERED);
      }
    });
  });

  Object.entries(KINDS).forEach(([title, kind]) => {
    itAlone(`where ${title}`, async t => {
      for (const seed of [1, 2, 3]) {
        const load = {
          ...LOAD,
          instances: 8,
          propagationMs: 3000,
          seed,
          ...kind,
        };
        const outcome = await new CrashingParts(load).run();
        const { answered, barred, other } = outcome.sound;
        const all = answered + barred + other;
        t.log(JSON.stringify(outcome));
        t.true(outcome.late <= MAX_LATE);
        t.true(answered / all > MIN_ANSWERED);
      }
    });
  });
});
