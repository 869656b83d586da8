import type {
  FailureDomainId,
  InstanceId,
  OrganisationId,
  ServiceId,
} from '@jujubecroft/types';
import type { Brand } from '@jujubecroft/types';

/**
 * Machine that may hold the duties. Distinct from its instance id, which can be
 * reassigned to another machine.
 */
export type HolderId = Brand<string, 'HolderId'>;

/** A previous holder of the duties. */
export interface FormerHolder {
  readonly holder: HolderId;
  /** When it was replaced, in milliseconds on the store's clock. */
  readonly atMs: number;
}

/** Number of requests that started to run within one window, by organisation. */
export interface WindowUsage {
  /** Index of the window, counted from the Unix epoch. */
  readonly window: number;
  readonly counts: Readonly<Record<OrganisationId, number>>;
}

/** Desired number of replicas of one service and kind in a failure domain. */
export interface ReplicaOrder {
  readonly service: ServiceId;
  readonly failureDomain: FailureDomainId;
  /** Whether the order is for spot replicas, which the platform may reclaim. */
  readonly spot: boolean;
  readonly count: number;
}

/** Number of replicas that a service needs at peak load. */
export interface ServiceNeed {
  readonly service: ServiceId;
  readonly replicas: number;
}

/** State that a holder passes on to its successor through the store. */
export interface DutyNotes {
  /** Last window whose usage was reported; null before the first report is due. */
  readonly reportedThrough: number | null;
  /** Final usage of windows that are not known to be reported, oldest first. */
  readonly decided: readonly WindowUsage[];
  /** Replica orders in force. */
  readonly orders: readonly ReplicaOrder[];
  readonly needs: readonly ServiceNeed[];
}

/** Notes of a fleet whose duties were never held. */
export const NO_NOTES: DutyNotes = {
  reportedThrough: null,
  decided: [],
  orders: [],
  needs: [],
};

/** The lease on the duties of the fleet, as stored. */
export interface Holding {
  readonly holder: HolderId;
  readonly instance: InstanceId;
  /** Fencing token; increases with every takeover and is never reused. */
  readonly token: number;
  /** Latest end of the lease, in milliseconds on the store's clock. */
  readonly untilMs: number;
  /** Whether the holder released the lease before it expired. */
  readonly released: boolean;
  /** Recent previous holders. */
  readonly former: readonly FormerHolder[];
  readonly notes: DutyNotes;
}

/**
 * Row of the store that contains the holding. Each era of the store has a row of
 * its own, so that a write that was sent in an earlier era can't change it.
 */
export interface HoldingRow {
  /** Era of the store that the row belongs to; 0 for a store that has no eras. */
  readonly era: number;
  /** Version of the row, combined with the era; 0 if it does not exist. */
  readonly version: number;
  readonly holding: Holding | null;
  /**
   * The holding in the newest row of earlier eras. The store was restored from an
   * older copy since, so it may not be the last holding of that era.
   */
  readonly earlier: Holding | null;
}

/** Summary of the holding that instances exchange. */
export interface HoldingNews {
  readonly instance: InstanceId;
  readonly token: number;
  readonly untilMs: number;
  readonly released: boolean;
  /** Last window whose usage is final; -1 before the first. */
  readonly decidedThrough: number;
}

/** @returns the last window whose usage is final; -1 before the first */
export function decidedThrough({
  decided,
  reportedThrough,
}: DutyNotes): number {
  return decided.at(-1)?.window ?? reportedThrough ?? -1;
}

/** @returns the summary of a holding that is sent to other instances */
export function toHoldingNews({
  instance,
  token,
  untilMs,
  released,
  notes,
}: Holding): HoldingNews {
  return {
    instance,
    token,
    untilMs,
    released,
    decidedThrough: decidedThrough(notes),
  };
}

/**
 * Whether a received state of the holding is newer than the known one.
 *
 * @param received - state received from another instance or read from the store
 * @param known - known state; null if there is none
 */
export function isNewerHolding(
  received: HoldingNews,
  known: HoldingNews | null,
): boolean {
  if (received.token !== known?.token) {
    return received.token > (known?.token ?? 0);
  }
  if (received.released !== known.released) {
    return received.released;
  }
  return (
    received.untilMs > known.untilMs ||
    received.decidedThrough > known.decidedThrough
  );
}
