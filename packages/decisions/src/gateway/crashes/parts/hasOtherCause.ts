import type { PromptPartKey } from '@jujubecroft/types';

import type { Crash } from '../crashNews.js';

/**
 * Whether a barred request is the likely cause of a crash that a prompt part was lost in.
 *
 * A request that was lost in the same crashes as the part may have crashed them because of it,
 * so at least one of its crashes must be without the part.
 *
 * @param crash - the crash
 * @param part - the part
 * @param crashesOfBarred - for each barred request, the crashes that count against it
 */
export function hasOtherCause(
  crash: Crash,
  part: PromptPartKey,
  crashesOfBarred: readonly (readonly Crash[])[],
): boolean {
  return crashesOfBarred.some(
    crashes =>
      crashes.includes(crash) && crashes.some(({ parts }) => !parts.has(part)),
  );
}
