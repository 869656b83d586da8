import { mapStreams, tierOfStream } from '../simulation/scaleScenario.js';
import type { Experiment } from './Experiment.js';

const BURST = { startSeconds: 10, seconds: 30, factor: 40 };
const BURSTING_TIER = 2;

/** One organisation overloads a request class that all organisations use. */
export const largeOrganisation: Experiment = {
  meta: {
    name: 'large-organisation',
    description:
      'One organisation sends forty times its load in the engine class of tier 2 for 30 seconds.',
    ablations: ['without-tiers'],
  },
  create: deployment =>
    mapStreams(deployment, stream =>
      stream.organisation === 'org-1' &&
      stream.target === 'engine' &&
      tierOfStream(deployment, stream) === BURSTING_TIER
        ? { ...stream, burst: BURST }
        : stream,
    ),
};
