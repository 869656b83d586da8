import * as z from 'zod';
import type { ListedMember } from '@jujubecroft/decisions';
import type { FailureDomainId, InstanceId } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

const noteSchema = z.object({
  failureDomain: z.string(),
  peerAddress: z.string(),
});

/**
 * Reads the note that an instance left in the store for others that start.
 *
 * @param instance - that left it
 * @param content - of the note, parsed
 * @returns null where it is none
 */
export function parseMemberNote(
  instance: string,
  content: unknown,
): ListedMember | null {
  const note = noteSchema.safeParse(content);
  return note.success
    ? {
        id: brand<InstanceId>(instance),
        failureDomain: brand<FailureDomainId>(note.data.failureDomain),
        callerAddress: '',
        peerAddress: note.data.peerAddress,
        state: 'live',
      }
    : null;
}
