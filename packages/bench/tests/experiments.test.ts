import { describe } from '@jujubecroft/testing';

import { EXPERIMENTS, runExperiment } from '../src/index.js';

const OPTIONS = { seed: 3, seconds: 4 };

describe('simulated experiments', ({ it }) => {
  EXPERIMENTS.forEach(experiment => {
    it(`break no promise in the jujubecroft arm: ${experiment.meta.name}`, t => {
      const { arms } = runExperiment(experiment, OPTIONS);
      const own = arms.find(({ name }) => name === 'jujubecroft');
      t.deepEqual(own?.brokenPromises, []);
      t.true((own?.goodput ?? 0) > 0);
    });
  });

  it('give the same result for the same seed', t => {
    const [experiment] = EXPERIMENTS;
    if (!experiment) {
      t.fail('the catalogue of experiments is empty');
      return;
    }
    t.deepEqual(
      runExperiment(experiment, OPTIONS),
      runExperiment(experiment, OPTIONS),
    );
  });
});
