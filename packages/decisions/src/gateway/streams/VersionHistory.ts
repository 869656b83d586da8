import type { Replica, ServiceId, SoftwareVersion } from '@jujubecroft/types';

import type { Clock } from '../../blackboard/Blackboard.js';

/** A service's only software version. */
export interface SoleVersion {
  readonly softwareVersion: SoftwareVersion;
  /** Time for which the service is known to have had no other, in milliseconds. */
  readonly forMs: number;
}

/** When replicas of one software version of a service were last known. */
interface SeenVersion {
  readonly isPresent: boolean;
  readonly lastMs: number;
}

type VersionSightings = Map<SoftwareVersion | null, SeenVersion>;

/**
 * The software versions that replicas of each service have had.
 *
 * Where a service has had one version only, all of its streams began at that version. The
 * history is complete from its start on: it begins anew whenever replicas may have come
 * and gone unseen.
 */
export class VersionHistory {
  readonly #services = new Map<ServiceId, VersionSightings>();
  /** Starts of the history by service where that of another instance extends it. */
  readonly #extendedFromMs = new Map<ServiceId, number>();
  /** Null before the first view. */
  #fromMs: number | null = null;
  #unseenRemovals = 0;

  /**
   * @param clock - monotonic clock, in milliseconds
   * @param countUnseenRemovals - returns the number of entries that were removed before
   *   this instance knew their content
   */
  constructor(
    private readonly clock: Clock,
    private readonly countUnseenRemovals: () => number,
  ) {}

  /**
   * Begins the history anew, as replicas may have come and gone unseen.
   *
   * @param replicas - all replicas, including leaving ones
   */
  restart(replicas: readonly Replica[]): void {
    this.#services.clear();
    this.#extendedFromMs.clear();
    this.#fromMs = null;
    this.observe(replicas);
  }

  /**
   * Records the replicas of a complete view, after each change.
   *
   * @param replicas - all replicas, including leaving ones
   */
  observe(replicas: readonly Replica[]): void {
    const nowMs = this.clock();
    this.#checkRemovals();
    this.#fromMs ??= nowMs;
    this.#services.forEach(versions => {
      versions.forEach(({ isPresent, lastMs }, version) => {
        versions.set(version, {
          isPresent: false,
          lastMs: isPresent ? nowMs : lastMs,
        });
      });
    });
    replicas.forEach(({ service, softwareVersion }) => {
      const versions: VersionSightings =
        this.#services.get(service) ??
        new Map<SoftwareVersion | null, SeenVersion>();
      this.#services.set(service, versions);
      versions.set(softwareVersion, { isPresent: true, lastMs: nowMs });
    });
  }

  /**
   * Returns the version of a service's replicas, if the latest ones had no other.
   *
   * @param service - id of the service
   * @returns null if there are several versions or the only one is unknown
   */
  soleVersion(service: ServiceId): SoleVersion | null {
    this.#checkRemovals();
    const present = this.#present(service);
    const [version] = present;
    if (this.#fromMs === null || !version || present.length > 1) {
      return null;
    }
    const fromMs = this.#extendedFromMs.get(service) ?? this.#fromMs;
    const forMs = Math.min(
      this.clock() - fromMs,
      this.sinceOthersMs(service, version),
    );
    return { softwareVersion: version, forMs };
  }

  /** Whether the replicas of a service have several versions now. */
  hasSeveral(service: ServiceId): boolean {
    return this.#present(service).length > 1;
  }

  /**
   * Returns how long ago a replica of any other version was last known.
   *
   * @param service - id of the service
   * @param version - the version that doesn't count
   * @returns milliseconds; infinite if this instance has seen no other
   */
  sinceOthersMs(service: ServiceId, version: SoftwareVersion): number {
    const others = [...(this.#services.get(service) ?? [])]
      .filter(([other]) => other !== version)
      .map(([, { lastMs }]) => lastMs);
    return this.clock() - Math.max(-Infinity, ...others);
  }

  /**
   * Extends the history by that of another instance, if the two overlap.
   *
   * @param service - id of the service
   * @param other - what the other instance knows; null for nothing
   * @param otherAgeMs - age of its view, in milliseconds
   */
  extend(
    service: ServiceId,
    other: SoleVersion | null,
    otherAgeMs: number,
  ): void {
    const own = this.soleVersion(service);
    if (
      own === null ||
      other?.softwareVersion !== own.softwareVersion ||
      otherAgeMs > own.forMs ||
      other.forMs <= own.forMs ||
      this.#hasOthers(service)
    ) {
      return;
    }
    this.#extendedFromMs.set(service, this.clock() - other.forMs);
  }

  #present(service: ServiceId): readonly (SoftwareVersion | null)[] {
    return [...(this.#services.get(service) ?? [])]
      .filter(([, { isPresent }]) => isPresent)
      .map(([version]) => version);
  }

  #hasOthers(service: ServiceId): boolean {
    return (this.#services.get(service)?.size ?? 0) > 1;
  }

  #checkRemovals(): void {
    const count = this.countUnseenRemovals();
    if (count !== this.#unseenRemovals) {
      this.#unseenRemovals = count;
      this.#extendedFromMs.clear();
      this.#fromMs = this.#fromMs === null ? null : this.clock();
    }
  }
}
