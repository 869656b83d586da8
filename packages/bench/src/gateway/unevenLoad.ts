import type { ReplayLoad } from './burstLoad.js';
import { BURST_LOAD, promptRoute } from './burstLoad.js';

/**
 * Long narrations, short live answers and labels in the proportions of a heavy day, at
 * nine replicas of 12 slots.
 */
export const UNEVEN_LOAD: ReplayLoad = {
  ...BURST_LOAD,
  kinds: [
    {
      route: promptRoute('narration', {
        latencyTargetMs: 2000,
        gapTargetMs: 1200,
        priority: 2,
        resumable: false,
        timeoutMs: 12_000,
      }),
      perS: 16,
      burst: 1.6,
      sharedTokens: 5000,
      sharedParts: 60,
      medianOwnTokens: 2500,
      outputTokens: 380,
    },
    {
      route: promptRoute('live', {
        latencyTargetMs: 300,
        gapTargetMs: 300,
        priority: 0,
        resumable: true,
        timeoutMs: 10_000,
      }),
      perS: 8.7,
      burst: 1.5,
      sharedTokens: 200,
      sharedParts: 60,
      medianOwnTokens: 380,
      outputTokens: 140,
    },
    {
      route: promptRoute('label', {
        latencyTargetMs: 500,
        gapTargetMs: 500,
        priority: 1,
        resumable: false,
        timeoutMs: 3000,
      }),
      perS: 15,
      burst: 1,
      sharedTokens: 570,
      sharedParts: 60,
      medianOwnTokens: 800,
      outputTokens: 15,
    },
  ],
};
