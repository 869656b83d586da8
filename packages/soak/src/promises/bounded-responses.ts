import type { SoakInvariant } from './SoakInvariant.js';

/**
 * Bytes of a response without end that a replica can send before its connection is closed;
 * the buffers of sockets and of the link hold most of them.
 */
const MAX_ENDLESS_BYTES = 16 * 1024 * 1024;

/** A response that never ends is not read on. */
export const boundedResponses: SoakInvariant = {
  name: 'bounded-responses',
  description:
    'The connection of a response without end is closed before much of it is read.',
  timed: false,
  check: ({ notes }) =>
    notes.flatMap(note =>
      note.type === 'endless' && note.bytes > MAX_ENDLESS_BYTES
        ? [
            {
              request: note.id,
              what: `${note.replica} sent ${note.bytes} bytes of a response without end`,
            },
          ]
        : [],
    ),
};
