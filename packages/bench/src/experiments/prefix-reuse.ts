import { mapStreams } from '../simulation/scaleScenario.js';
import type { Experiment } from './Experiment.js';

const PROMPT_TOKENS = 3000;
const PREFIX_TOKENS = 2800;
const PREFIXES_PER_STREAM = 4;

/**
 * Long prompts share long prefixes, which together exceed the prefix cache of
 * one engine.
 */
export const prefixReuse: Experiment = {
  meta: {
    name: 'prefix-reuse',
    description:
      'Prompts of 3,000 tokens share prefixes of 2,800; the caches hold a part of them.',
    ablations: ['without-affinity'],
  },
  create: deployment =>
    mapStreams(deployment, stream =>
      stream.target === 'engine'
        ? {
            ...stream,
            promptTokens: PROMPT_TOKENS,
            prefixTokens: PREFIX_TOKENS,
            prefixCount: PREFIXES_PER_STREAM,
          }
        : stream,
    ),
};
