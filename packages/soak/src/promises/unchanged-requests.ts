import type { Evidence, ReceivedNote } from '../evidence.js';
import type { EvidenceIndex } from './EvidenceIndex.js';
import type { SoakInvariant } from './SoakInvariant.js';

/** Tolerance for rounding when comparing the forwarded time limit to the caller's. */
const ROUNDING_TOLERANCE_MS = 1;

/** Describes how a received request differs from the one sent; null if it does not. */
function violationOf(note: ReceivedNote, index: EvidenceIndex): string | null {
  const sent = index.sent(note.id);
  if (!sent) {
    return 'no caller sent it';
  }
  if (note.target !== sent.target || note.body !== sent.body) {
    return 'path, query or body changed';
  }
  if (note.organisation !== sent.organisation) {
    return `received for organisation ${note.organisation ?? 'none'}, not ${sent.organisation}`;
  }
  const timeLeftMs = note.timeLeftMs ?? Infinity;
  return timeLeftMs > sent.timeLimitMs + ROUNDING_TOLERANCE_MS
    ? `received with ${timeLeftMs} ms left of the caller's ${sent.timeLimitMs}`
    : null;
}

/** Requests reach replicas unchanged. */
export const unchangedRequests: SoakInvariant = {
  name: 'unchanged-requests',
  description:
    'Every request that reaches a replica was sent by a caller, and arrives unchanged, for the same organisation and with no more than the time left.',
  timed: false,
  check: ({ notes }: Evidence, index) =>
    notes
      .filter(note => note.type === 'got')
      .flatMap(note => {
        const what = violationOf(note, index);
        return what === null ? [] : [{ request: note.id, what }];
      }),
};
