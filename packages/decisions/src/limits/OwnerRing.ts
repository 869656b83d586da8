import murmurhash from 'murmurhash';
import type { InstanceId, OrganisationId } from '@jujubecroft/types';

interface Place {
  readonly position: number;
  readonly instance: InstanceId;
}

/** Places of one instance on the ring; more spread the work more evenly. */
const PLACES = 16;

/**
 * Says which instance works out the shares of an organisation's limits.
 *
 * Consistent hashing: instances that agree on the fleet agree on the owner, and
 * a join or leave moves only the organisations of that instance. Disagreement
 * is harmless for a while, since shares are leases.
 */
export class OwnerRing {
  readonly #places: readonly Place[];

  /** @param instances - live instances */
  constructor(instances: readonly InstanceId[]) {
    this.#places = instances
      .flatMap(instance =>
        Array.from({ length: PLACES }, (_, index) => ({
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
   * @param organisation - the organisation
   * @returns the instance at or behind its place on the ring
   */
  ownerOf(organisation: OrganisationId): InstanceId | undefined {
    const wanted = murmurhash.v3(organisation);
    let low = 0;
    let high = this.#places.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if ((this.#places[middle]?.position ?? Infinity) < wanted) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return (this.#places[low] ?? this.#places[0])?.instance;
  }
}
