import * as z from 'zod';
import type { ListedMember } from '@jujubecroft/decisions';
import type { FailureDomainId, InstanceId } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

const entrySchema = z.object({
  failureDomain: z.string(),
  peerAddress: z.string(),
});

/**
 * Parses the entry by which an instance announces itself in the store, for instances
 * that start later.
 *
 * @param instance - id of the announced instance
 * @param content - parsed JSON of the entry
 * @returns the member; null if the entry is invalid
 */
export function parseMemberEntry(
  instance: string,
  content: unknown,
): ListedMember | null {
  const entry = entrySchema.safeParse(content);
  return entry.success
    ? {
        id: brand<InstanceId>(instance),
        failureDomain: brand<FailureDomainId>(entry.data.failureDomain),
        callerAddress: '',
        peerAddress: entry.data.peerAddress,
        state: 'live',
      }
    : null;
}
