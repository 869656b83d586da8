import type { ReplayLoad } from './burstLoad.js';
import { promptRoute } from './burstLoad.js';

/**
 * Long drafts and short live notes with tight latency targets: prefilling a draft
 * takes a third of its target, and a few of its chunks in a row make every note on
 * the same engine late. During the burst, drafts need more prefill than the
 * engines can do beside the notes.
 */
export const TIGHT_LOAD: ReplayLoad = {
  kinds: [
    {
      route: promptRoute('draft', {
        latencyTargetMs: 800,
        gapTargetMs: 200,
        priority: 1,
        resumable: false,
        timeoutMs: 6000,
      }),
      perS: 10,
      burst: 2.3,
      sharedTokens: 6300,
      sharedParts: 156,
      medianOwnTokens: 1750,
      outputTokens: 52,
    },
    {
      route: promptRoute('note', {
        latencyTargetMs: 300,
        gapTargetMs: 120,
        priority: 1,
        resumable: true,
        timeoutMs: 15_000,
      }),
      perS: 25,
      burst: 1.5,
      sharedTokens: 198,
      sharedParts: 143,
      medianOwnTokens: 380,
      outputTokens: 291,
    },
  ],
  ownTokensSigma: 1,
  engine: {
    slots: 128,
    stepMs: 4.73,
    stepPerRequestMs: 0.0138,
    prefillTokensPerMs: 38.4,
    attentionMsPerMillionPairs: 1.18,
    chunkTokens: 1024,
    tokensPerEvent: 3,
  },
  transfer: { bytesPerToken: 131_072, megabitsPerS: 260_000 },
  organisations: null,
};
