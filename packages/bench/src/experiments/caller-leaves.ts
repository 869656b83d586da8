import { mapStreams } from '../simulation/scaleScenario.js';
import type { Experiment } from './Experiment.js';

const FICKLE = 0.3;
const PATIENCE_MS = 10_000;
const LOAD_FACTOR = 1.8;

/** Many callers leave before their answer is whole. */
export const callerLeaves: Experiment = {
  meta: {
    name: 'caller-leaves',
    description:
      'Three callers in ten leave at a random moment within ten seconds while the load is nearly twice the usual.',
    ablations: ['without-admission'],
  },
  create: deployment =>
    mapStreams(deployment, stream =>
      stream.target === 'engine'
        ? {
            ...stream,
            fickle: FICKLE,
            patienceMs: PATIENCE_MS,
            requestsPerSecond: stream.requestsPerSecond * LOAD_FACTOR,
          }
        : stream,
    ),
};
