import type { LinkMode } from './FaultLink.js';
import type { PlannedFault } from './planFaults.js';

const MAX_DELAY_MS = 400;

/** Cuts a link in both directions or in one of them, depending on the strength. */
export function cutMode({ strength }: PlannedFault): LinkMode {
  const kinds = ['away', 'cutForth', 'cutBack'] as const;
  return { kind: kinds[Math.floor(strength * kinds.length)] ?? 'away' };
}

/** Delays the bytes of a link, depending on the strength. */
export const delayMode = ({ strength }: PlannedFault): LinkMode => ({
  kind: 'delay',
  ms: Math.round(MAX_DELAY_MS * strength),
});
