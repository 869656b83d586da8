import { mapStreams, tierOfStream } from '../simulation/scaleScenario.js';
import type { Experiment } from './Experiment.js';

const LOWEST = 3;
const BATCH_FACTOR = 6;
const DAY_FACTOR = 2.5;

/** The nightly batch meets a full load of higher tiers. */
export const nightBatch: Experiment = {
  meta: {
    name: 'night-batch',
    description:
      'The lowest engine class sends six times its load while the higher tiers send two and a half times theirs.',
    ablations: ['without-tiers'],
  },
  create: deployment =>
    mapStreams(deployment, stream => {
      if (stream.target !== 'engine') {
        return stream;
      }
      const isBatch = tierOfStream(deployment, stream) >= LOWEST;
      const factor = isBatch ? BATCH_FACTOR : DAY_FACTOR;
      return {
        ...stream,
        requestsPerSecond: stream.requestsPerSecond * factor,
      };
    }),
};
