import { mapStreams, tierOfStream } from '../simulation/scaleScenario.js';
import type { Experiment } from './Experiment.js';

const BATCH_FROM_TIER = 3;
const BATCH_LOAD_FACTOR = 6;
const HIGHER_TIER_LOAD_FACTOR = 2.5;

/**
 * A nightly batch in the lowest engine class coincides with a high load of the
 * engine classes above it.
 */
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
      const isBatch = tierOfStream(deployment, stream) >= BATCH_FROM_TIER;
      const factor = isBatch ? BATCH_LOAD_FACTOR : HIGHER_TIER_LOAD_FACTOR;
      return {
        ...stream,
        requestsPerSecond: stream.requestsPerSecond * factor,
      };
    }),
};
