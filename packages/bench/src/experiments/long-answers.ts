import { mapStreams } from '../simulation/scaleScenario.js';
import type { Experiment } from './Experiment.js';

const HEAVY_TAIL_SHAPE = 0.5;
const MEAN_LENGTH_FACTOR = 1.5;

/**
 * Answers are longer than normal, and the distribution of their lengths has a
 * heavy tail.
 */
export const longAnswers: Experiment = {
  meta: {
    name: 'long-answers',
    description:
      'Answers are half as long again on average, with a heavy tail of lengths.',
    ablations: ['without-admission', 'without-limit'],
  },
  create: deployment =>
    mapStreams(deployment, stream =>
      stream.target === 'engine'
        ? {
            ...stream,
            meanTokens: stream.meanTokens * MEAN_LENGTH_FACTOR,
            lengthShape: HEAVY_TAIL_SHAPE,
          }
        : stream,
    ),
};
