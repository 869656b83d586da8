import type { Experiment } from './Experiment.js';

/** One engine becomes four times slower for 30 s. */
export const straggler: Experiment = {
  meta: {
    name: 'straggler',
    description: 'Engine 1 takes four times as long a step for 30 seconds.',
    ablations: ['without-straggler-avoidance', 'without-migration'],
  },
  create: deployment => ({
    ...deployment,
    faults: [
      { kind: 'slow', atMs: 15_000, untilMs: 45_000, engine: 0, factor: 4 },
    ],
  }),
};
