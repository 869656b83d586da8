import type { OrganisationId, ServiceId } from '@jujubecroft/types';

/** Work that one organisation offers, as a rate. */
export interface OrganisationWork {
  readonly organisation: OrganisationId;
  /**
   * Prompt tokens to be read per second plus weighted output tokens; for a
   * plain service, milliseconds of its time per second.
   */
  readonly workPerS: number;
}

/** Work of the requests of one priority at a service. */
export interface WorkGroup {
  readonly service: ServiceId;
  /** Position in the service's priority order; 0 is the most urgent. */
  readonly priority: number;
  /** Work per second that was sent while nothing showed a lack of capacity. */
  readonly onTimePerS: number;
  /**
   * Time since capacity was last short for a request, in milliseconds.
   */
  readonly shortAgeMs: number;
  readonly organisations: readonly OrganisationWork[];
}

/** Work at one instance, as reported to the others. */
export interface WorkReport {
  /**
   * Time of the report in Unix milliseconds, by the sender's wall clock when it
   * started and its monotonic clock since; orders the reports of one instance.
   */
  readonly asOfMs: number;
  readonly groups: readonly WorkGroup[];
}
