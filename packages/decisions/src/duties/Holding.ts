import type {
  FailureDomainId,
  InstanceId,
  OrganisationId,
  ServiceId,
} from '@jujubecroft/types';
import type { Brand } from '@jujubecroft/types';

/** A machine that may hold the duties; its name alone may pass to another machine. */
export type HolderId = Brand<string, 'HolderId'>;

/** A holder before the present one. */
export interface FormerHolder {
  readonly holder: HolderId;
  /** When another one took over, on the store's clock. */
  readonly atMs: number;
}

/** Requests that began to run in one window, by organisation. */
export interface WindowUsage {
  /** Number of the window, counted from the start of 1970. */
  readonly window: number;
  readonly counts: Readonly<Record<OrganisationId, number>>;
}

/** How many replicas of one kind a failure domain should have. */
export interface ReplicaOrder {
  readonly service: ServiceId;
  readonly failureDomain: FailureDomainId;
  /** Whether the replicas are cheap ones that may be reclaimed. */
  readonly spot: boolean;
  readonly count: number;
}

/** Replicas that the peaks of a service need. */
export interface ServiceNeed {
  readonly service: ServiceId;
  readonly replicas: number;
}

/** What a holder hands on to the next one. */
export interface DutyNotes {
  /** Last window whose usage was reported; null before the first report is due. */
  readonly reportedThrough: number | null;
  /** Usage that was decided and is not known to be reported, oldest first. */
  readonly decided: readonly WindowUsage[];
  /** The orders in force. */
  readonly orders: readonly ReplicaOrder[];
  readonly needs: readonly ServiceNeed[];
}

export const NO_NOTES: DutyNotes = {
  reportedThrough: null,
  decided: [],
  orders: [],
  needs: [],
};

/** Who holds the duties of the fleet, as it stands in the store. */
export interface Holding {
  readonly holder: HolderId;
  readonly instance: InstanceId;
  /** Fencing token; grows with every take-over and is never used again. */
  readonly token: number;
  /** When the lease ends at the latest, on the store's clock. */
  readonly untilMs: number;
  /** Whether the holder gave it up before that. */
  readonly released: boolean;
  /** Recent holders before this one. */
  readonly former: readonly FormerHolder[];
  readonly notes: DutyNotes;
}

/** The row of the holding with its version in the store. */
export interface HoldingRow {
  /** 0 where the row doesn't exist. */
  readonly version: number;
  readonly holding: Holding | null;
}

/** What instances tell each other of the holding. */
export interface HoldingNews {
  readonly instance: InstanceId;
  readonly token: number;
  readonly untilMs: number;
  readonly released: boolean;
  /** Last window whose usage is decided; -1 before the first. */
  readonly decidedThrough: number;
}

/** @returns the last window whose usage is decided; -1 before the first */
export function decidedThrough({
  decided,
  reportedThrough,
}: DutyNotes): number {
  return decided.at(-1)?.window ?? reportedThrough ?? -1;
}

/** @returns what others are told of a holding */
export function newsOf({
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
 * Whether what is told of the holding is newer than what is known.
 *
 * @param told - by another instance or the store
 * @param known - null where nothing is
 */
export function isNewerHolding(
  told: HoldingNews,
  known: HoldingNews | null,
): boolean {
  if (told.token !== known?.token) {
    return told.token > (known?.token ?? 0);
  }
  if (told.released !== known.released) {
    return told.released;
  }
  return (
    told.untilMs > known.untilMs || told.decidedThrough > known.decidedThrough
  );
}
