import { mapStreams } from '../simulation/scaleScenario.js';
import type { Experiment } from './Experiment.js';

const EARLY_LEAVE_SHARE = 0.3;
const LEAVE_WITHIN_MS = 10_000;
const LOAD_FACTOR = 1.8;

/** Many callers disconnect before their answer is complete. */
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
            earlyLeaveShare: EARLY_LEAVE_SHARE,
            patienceMs: LEAVE_WITHIN_MS,
            requestsPerSecond: stream.requestsPerSecond * LOAD_FACTOR,
          }
        : stream,
    ),
};
