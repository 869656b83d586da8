import murmurhash from 'murmurhash';
import type {
  FailureDomainId,
  InstanceId,
  StreamKey,
} from '@jujubecroft/types';

/** An instance that may keep the record of a stream. */
export interface Keeper {
  readonly id: InstanceId;
  readonly failureDomain: FailureDomainId;
}

/**
 * Orders instances by how they are chosen to keep the record of a stream.
 *
 * The order follows from rendezvous hashing, so that instances which know the same
 * members agree on it. A member that joins or fails leaves the order of the others in its
 * failure domain as it was. The first ones belong to different failure domains.
 *
 * @param key - key of the stream
 * @param members - all serving instances
 */
export function keepersOf<Member extends Keeper>(
  key: StreamKey,
  members: readonly Member[],
): readonly Member[] {
  const byHash = members
    .map(member => ({ member, hash: murmurhash.v3(`${key}/${member.id}`) }))
    .sort((a, b) => b.hash - a.hash || (a.member.id < b.member.id ? -1 : 1));
  const inDomain = new Map<FailureDomainId, number>();
  return byHash
    .map(({ member }, index) => {
      const round = inDomain.get(member.failureDomain) ?? 0;
      inDomain.set(member.failureDomain, round + 1);
      return { member, round, index };
    })
    .sort((a, b) => a.round - b.round || a.index - b.index)
    .map(({ member }) => member);
}
