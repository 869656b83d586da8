import type { Experiment } from './Experiment.js';

/** Engines crash while they have open streams. */
export const engineCrash: Experiment = {
  meta: {
    name: 'engine-crash',
    description:
      'Engine 1 crashes for 10 seconds, then engine 2 for 5 seconds; every open stream on them is cut.',
    ablations: ['without-resume'],
  },
  create: deployment => ({
    ...deployment,
    faults: [
      { kind: 'crash', atMs: 15_000, untilMs: 25_000, engine: 0 },
      { kind: 'crash', atMs: 35_000, untilMs: 40_000, engine: 1 },
    ],
  }),
};
