import type { Experiment } from './Experiment.js';

/**
 * Open connections stop delivering data without closing, while new connections
 * work.
 */
export const silentConnections: Experiment = {
  meta: {
    name: 'silent-connections',
    description:
      'Every stream open on engine 1 goes silent at 15 s, on engine 2 at 30 s; new connections work.',
    ablations: ['without-silence-detection'],
  },
  create: deployment => ({
    ...deployment,
    faults: [
      { kind: 'silence', atMs: 15_000, engine: 0 },
      { kind: 'silence', atMs: 30_000, engine: 1 },
    ],
  }),
};
