import type { ReplayLoad } from './burstLoad.js';
import { promptRoute } from './burstLoad.js';

/**
 * Long drafts and short live notes whose targets leave little room: a draft's
 * prompt takes a third of its target to read, and a few of its chunks in a row
 * make every note beside it late. In the burst drafts ask for more than the
 * engines beside the notes can read.
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
      things: 156,
      ownTokens: 1750,
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
      things: 143,
      ownTokens: 380,
      outputTokens: 291,
    },
  ],
  ownSpread: 1,
  engine: {
    slots: 128,
    stepMs: 4.73,
    perSlotMs: 0.0138,
    tokensPerMs: 38.4,
    pairsMsPerMillion: 1.18,
    chunkTokens: 1024,
    tokensPerEvent: 3,
  },
  transfer: { bytesPerToken: 131_072, megabitsPerS: 260_000 },
  organisations: null,
};
