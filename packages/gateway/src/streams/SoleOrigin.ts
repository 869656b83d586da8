import type {
  GatewayRequest,
  KnownOrigin,
  OriginSearch,
  SoleVersion,
} from '@jujubecroft/decisions';
import {
  determineViewState,
  hasResumableStreams,
} from '@jujubecroft/decisions';
import type { ServiceId } from '@jujubecroft/types';

import type { GatewayContext } from '../GatewayContext.js';
import { CHECK_MS } from './OriginPublisher.js';
import type { StreamHistoryKeeper } from './StreamHistoryKeeper.js';
import { maxStreamAgeMs } from './streamLife.js';

/** What the versions of a service say about its streams, as of one check. */
interface ServiceFindings {
  /** Local time of the check. */
  readonly atMs: number;
  /** Whether other instances need records of its streams. */
  readonly needsRecords: boolean;
  /** Whether it has had several versions within the life of a stream. */
  readonly hasSeveralVersions: boolean;
}

/**
 * Tells whether all streams that may be continued have begun at one version of a service.
 *
 * That doesn't depend on what a request states about itself, since a caller may state its
 * whole time limit anew in each request.
 */
export class SoleOrigin {
  /** What was found out about the services, and when. */
  readonly #findings = new Map<ServiceId, ServiceFindings>();

  /**
   * @param context - view and clock
   * @param history - what the store knows of the services and of the life of streams
   */
  constructor(
    private readonly context: Pick<
      GatewayContext,
      'clock' | 'router' | 'settings'
    >,
    private readonly history: StreamHistoryKeeper,
  ) {}

  /**
   * Finds the only origin that the stream of a request can have, by the present view.
   *
   * @param request - a request that continues a stream
   * @returns null if there may be several
   */
  find({
    route,
    service,
  }: Pick<GatewayRequest, 'route' | 'service'>): KnownOrigin | null {
    const sole = this.#versions.soleVersion(service.id);
    return sole && this.#forMs({ route, service }, sole) >= this.#neededMs
      ? {
          service: service.id,
          softwareVersion: sole.softwareVersion,
          ageMs: 0,
          provenAgeMs: 0,
        }
      : null;
  }

  /**
   * Tells why {@link find} found no origin for a request.
   *
   * @param request - a request that continues a stream
   * @returns `unconfirmed` if there is one by now, but the store didn't confirm it
   */
  reasonAgainst(
    request: Pick<GatewayRequest, 'route' | 'service'>,
  ): OriginSearch['versions'] {
    if (this.#versions.soleVersion(request.service.id) === null) {
      return 'several';
    }
    return this.find(request) ? 'unconfirmed' : 'notLongEnough';
  }

  /**
   * Whether other instances can't be certain of the version of a service's streams
   * without their records.
   */
  needsRecords(service: ServiceId): boolean {
    return this.#findingsOf(service).needsRecords;
  }

  /**
   * Whether the store may have the record of the stream that a request continues, which may have
   * begun at any service of its route.
   */
  mayHaveStored({
    route,
    service,
  }: Pick<GatewayRequest, 'route' | 'service'>): boolean {
    const services = [service.id, ...route.shares.map(share => share.service)];
    return (
      !this.history.isKnown || services.some(id => this.hasSeveralVersions(id))
    );
  }

  /**
   * Whether a service is known to have had several versions within the life of a stream, so
   * that the versions don't show where its streams began.
   */
  hasSeveralVersions(service: ServiceId): boolean {
    return this.#findingsOf(service).hasSeveralVersions;
  }

  /** Checks a service, at most once in each interval. */
  #findingsOf(service: ServiceId): ServiceFindings {
    const atMs = this.context.clock();
    const known = this.#findings.get(service);
    if (known && atMs - known.atMs < CHECK_MS) {
      return known;
    }
    const findings = {
      atMs,
      needsRecords: !this.#isCertain(service),
      hasSeveralVersions: this.#sawSeveral(service),
    };
    this.#findings.set(service, findings);
    return findings;
  }

  #sawSeveral(service: ServiceId): boolean {
    const sole = this.#versions.soleVersion(service);
    if (sole === null) {
      return this.#versions.hasSeveral(service);
    }
    const { softwareVersion } = sole;
    const sinceOthersMs = Math.min(
      this.#versions.sinceOthersMs(service, softwareVersion),
      this.history.sinceOthersMs(service, softwareVersion),
    );
    return sinceOthersMs < this.#neededMs;
  }

  get #versions(): GatewayContext['router']['board']['versions'] {
    return this.context.router.board.versions;
  }

  /** Time for which a service must have had one version, in milliseconds. */
  get #neededMs(): number {
    // Instances use views of that age, so that replicas are used as long after they left.
    const { freshWithinMs } = this.context.settings;
    return maxStreamAgeMs(this.history.longestLifeMs) + freshWithinMs;
  }

  /** Time for which all streams of a route have begun at one version, in milliseconds. */
  #forMs(
    { route, service }: Pick<GatewayRequest, 'route' | 'service'>,
    { softwareVersion, forMs }: SoleVersion,
  ): number {
    const storedForMs = Math.min(
      this.history.soleOriginForMs({ route, service }, softwareVersion),
      // The row may lack what this instance has just learned.
      this.#versions.sinceOthersMs(service.id, softwareVersion),
    );
    const ownForMs = Math.min(
      this.history.soleServiceForMs(route, service.id),
      forMs,
    );
    return Math.max(storedForMs, ownForMs);
  }

  /** Whether the view is current and the service has had one version for long enough. */
  #isCertain(id: ServiceId): boolean {
    const { router, settings } = this.context;
    const { board } = router;
    const service = board.table?.service(id);
    if (!service) {
      return false;
    }
    const routes = (board.table?.cfg.routes ?? []).filter(
      route =>
        hasResumableStreams(route) &&
        route.shares.some(share => share.service === id),
    );
    return (
      this.#versions.soleVersion(id) !== null &&
      routes.every(route => this.find({ route, service }) !== null) &&
      determineViewState(board, settings.freshWithinMs) === 'current'
    );
  }
}
