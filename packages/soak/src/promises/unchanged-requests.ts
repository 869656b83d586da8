import type { Evidence, GotNote } from '../evidence.js';
import type { EvidenceIndex } from './EvidenceIndex.js';
import type { SoakPromise } from './SoakPromise.js';

/** Time by which the handed on time may exceed the caller's, for rounding. */
const ROUNDING_MS = 1;

function faultOf(note: GotNote, index: EvidenceIndex): string | null {
  const sent = index.sent(note.id);
  if (!sent) {
    return 'no caller sent it';
  }
  if (note.target !== sent.target || note.body !== sent.body) {
    return 'path, query or body changed';
  }
  if (note.organisation !== sent.organisation) {
    return `ran for ${note.organisation ?? 'nobody'}, not ${sent.organisation}`;
  }
  const timeLeftMs = note.timeLeftMs ?? Infinity;
  return timeLeftMs > sent.timeLimitMs + ROUNDING_MS
    ? `was handed ${timeLeftMs} ms of the caller's ${sent.timeLimitMs}`
    : null;
}

/** Requests reach replicas as their callers sent them. */
export const unchangedRequests: SoakPromise = {
  name: 'unchanged-requests',
  description:
    'What a replica runs was sent by a caller and reaches it unchanged, for its own organisation and with no more time than is left.',
  timed: false,
  check: ({ notes }: Evidence, index) =>
    notes
      .filter(note => note.type === 'got')
      .flatMap(note => {
        const what = faultOf(note, index);
        return what === null ? [] : [{ request: note.id, what }];
      }),
};
