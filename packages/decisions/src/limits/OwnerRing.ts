import murmurhash from 'murmurhash';
import type { InstanceId, OrganisationId } from '@jujubecroft/types';

interface RingPoint {
  readonly position: number;
  readonly instance: InstanceId;
}

/**
 * Points of each instance on the ring; more of them spread organisations more
 * evenly.
 */
const VIRTUAL_NODES = 16;

/**
 * Determines which instance computes the shares of an organisation's limits.
 *
 * It uses consistent hashing: instances that agree on the fleet agree on the
 * owner, and an instance that joins or leaves moves only its own organisations.
 * Disagreement does no harm for a while, since shares are leases.
 */
export class OwnerRing {
  readonly #points: readonly RingPoint[];

  /** @param instances - live instances */
  constructor(instances: readonly InstanceId[]) {
    this.#points = instances
      .flatMap(instance =>
        Array.from({ length: VIRTUAL_NODES }, (_, index) => ({
          position: murmurhash.v3(`${instance}/${index}`),
          instance,
        })),
      )
      .sort(
        (a, b) => a.position - b.position || (a.instance < b.instance ? -1 : 1),
      );
  }

  /**
   * Finds the owner of an organisation.
   *
   * @param organisation - id of the organisation
   * @returns the instance of the first point at or after the organisation's
   *   hash; undefined if there are no instances
   */
  ownerOf(organisation: OrganisationId): InstanceId | undefined {
    const position = murmurhash.v3(organisation);
    let low = 0;
    let high = this.#points.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if ((this.#points[middle]?.position ?? Infinity) < position) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return (this.#points[low] ?? this.#points[0])?.instance;
  }
}
