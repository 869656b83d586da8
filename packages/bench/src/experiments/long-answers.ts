import { mapStreams } from '../simulation/scaleScenario.js';
import type { Experiment } from './Experiment.js';

const HEAVY_TAIL = 0.5;
const GROWTH = 1.5;

/** Answers are longer than usual and their lengths have a heavy tail. */
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
            meanTokens: stream.meanTokens * GROWTH,
            lengthShape: HEAVY_TAIL,
          }
        : stream,
    ),
};
