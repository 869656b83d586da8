import { mapStreams, tierOfStream } from '../simulation/scaleScenario.js';
import type { Experiment } from './Experiment.js';

const BURST = { startSeconds: 15, seconds: 20, factor: 8 };
const BURSTING_TIER = 2;

/** One request class bursts while the others keep their normal load. */
export const burstOneClass: Experiment = {
  meta: {
    name: 'burst-one-class',
    description:
      'The engine class of tier 2 sends eight times its load for 20 seconds.',
    ablations: ['without-admission', 'without-tiers', 'without-limit'],
  },
  create: deployment =>
    mapStreams(deployment, stream =>
      stream.target === 'engine' &&
      tierOfStream(deployment, stream) === BURSTING_TIER
        ? { ...stream, burst: BURST }
        : stream,
    ),
};
