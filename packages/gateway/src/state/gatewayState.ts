import type {
  HeardReport,
  LimitReport,
  OwnUse,
  PeerWork,
  ReplicaChanges,
  ReplicaRecord,
  RouteDemand,
  SeenLength,
} from '@jujubecroft/decisions';
import type { proto } from '@jujubecroft/operator/peers';
import type {
  BackendServerId,
  FailureDomainId,
  Replica,
  RouteId,
  ServiceId,
} from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

/** Told to others while an entry stands. */
const STANDS = -1;
/** Told in place of a moment that isn't known, or was never. */
const NO_MOMENT = -1;
/** Told where a replica names no limit any more. */
const NO_LIMIT = -1;
/** Told where the start of a run is not known. */
const UNKNOWN_START = 0;
/** A removed entry; its other fields mean nothing. */
const REMOVED = {
  exists: false,
  service: '',
  address: '',
  failureDomain: '',
  slots: 0,
  leaving: false,
  coldMs: 0,
  spot: false,
} as const;

function startOf({ bornMs }: { readonly bornMs: number }): number | null {
  return bornMs === UNKNOWN_START ? null : bornMs;
}

/** Turns a replica record into its message. */
function toEntry(record: ReplicaRecord): proto.ReplicaEntry {
  const { id, replica, rowVersion, changedAt, bornMs, goneAtMs } = record;
  const content = replica
    ? { ...replica, exists: true, spot: replica.spot ?? false }
    : REMOVED;
  return {
    ...content,
    id,
    entryVersion: rowVersion,
    changedAt,
    bornMs: bornMs ?? UNKNOWN_START,
    goneAtMs: goneAtMs ?? STANDS,
  };
}

function fromEntry(entry: proto.ReplicaEntry): ReplicaRecord {
  const id = brand<BackendServerId>(entry.id);
  const bornMs = startOf(entry);
  const replica: Replica = {
    id,
    service: brand<ServiceId>(entry.service),
    address: entry.address,
    failureDomain: brand<FailureDomainId>(entry.failureDomain),
    slots: entry.slots,
    leaving: entry.leaving,
    coldMs: entry.coldMs,
    bornMs,
    ...(entry.spot ? { spot: true } : {}),
  };
  return {
    id,
    replica: entry.exists ? replica : null,
    rowVersion: entry.entryVersion,
    changedAt: entry.changedAt,
    bornMs,
    goneAtMs: entry.goneAtMs < 0 ? null : entry.goneAtMs,
  };
}

/**
 * Turns changes of replicas into the fields of a message.
 *
 * @param changes - what the other side lacks
 * @returns the fields
 */
export function toReplicaFields(
  changes: ReplicaChanges,
): Pick<
  proto.GatewayState,
  | 'replicas'
  | 'replicasAsOfMs'
  | 'replicasComplete'
  | 'replicasFrom'
  | 'replicasVersion'
> {
  return {
    replicasVersion: changes.version,
    replicasAsOfMs: toMoment(changes.asOfMs),
    replicasComplete: changes.complete,
    replicasFrom: changes.from,
    replicas: changes.records.map(toEntry),
  };
}

/**
 * Reads the changes of replicas out of a message.
 *
 * @param state - the message
 * @returns the changes
 */
export function fromReplicaFields(state: proto.GatewayState): ReplicaChanges {
  return {
    version: state.replicasVersion,
    asOfMs: fromMoment(state.replicasAsOfMs),
    complete: state.replicasComplete,
    from: state.replicasFrom,
    records: state.replicas.map(fromEntry),
  };
}

/** @returns the message fields of what this instance runs */
export function toUses(uses: readonly OwnUse[]): proto.BackendUse[] {
  return uses.map(({ id, bornMs, inFlight, unreadByRank }) => ({
    backendServer: id,
    bornMs: bornMs ?? UNKNOWN_START,
    inFlight,
    // Expected cache hits make it a fraction, which the message can't hold.
    unreadByRank: unreadByRank.map(Math.round),
  }));
}

/** @returns the message fields of what replicas told */
export function toReports(
  reports: readonly HeardReport[],
): proto.BackendReport[] {
  return reports.map(({ id, bornMs, total, ageMs }) => ({
    backendServer: id,
    bornMs: bornMs ?? UNKNOWN_START,
    total,
    ageMs: Math.round(ageMs),
  }));
}

/** @returns the message fields of the limits that replicas name */
export function toLimits(limits: readonly LimitReport[]): proto.BackendLimit[] {
  return limits.map(({ id, bornMs, perS, ageMs }) => ({
    backendServer: id,
    bornMs: bornMs ?? UNKNOWN_START,
    perS: perS ?? NO_LIMIT,
    ageMs: Math.round(ageMs),
  }));
}

/** @returns the limits that a message tells of */
export function fromLimits(
  limits: readonly proto.BackendLimit[],
): readonly LimitReport[] {
  return limits.map(limit => ({
    id: brand<BackendServerId>(limit.backendServer),
    bornMs: startOf(limit),
    perS: limit.perS < 0 ? null : limit.perS,
    ageMs: limit.ageMs,
  }));
}

/** @returns the message fields of what each route brings to this instance */
export function toDemands(
  demands: readonly RouteDemand[],
  lengthOf: (route: RouteId) => SeenLength,
): proto.RouteDemand[] {
  return demands.map(demand => ({ ...demand, ...lengthOf(demand.route) }));
}

/** @returns what another instance runs and has heard */
export function fromWork({
  uses,
  demands,
  reports,
}: proto.GatewayState): PeerWork {
  return {
    reports: reports.map(report => ({
      id: brand<BackendServerId>(report.backendServer),
      bornMs: startOf(report),
      total: report.total,
      ageMs: report.ageMs,
    })),
    uses: uses.map(use => ({
      id: brand<BackendServerId>(use.backendServer),
      bornMs: startOf(use),
      inFlight: use.inFlight,
      unreadByRank: use.unreadByRank,
    })),
    demands: demands.map(({ route, tokensPerS, inFlight }) => ({
      route: brand<RouteId>(route),
      tokensPerS,
      inFlight,
    })),
    lengths: demands.map(({ route, pieces, answers }) => ({
      route: brand<RouteId>(route),
      pieces,
      answers,
    })),
  };
}

/** @returns the message field of a moment on the store's clock */
export function toMoment(storeMs: number): number {
  return Number.isFinite(storeMs) ? storeMs : NO_MOMENT;
}

/** @returns the moment that a message tells; minus infinity for never */
export function fromMoment(told: number): number {
  return told < 0 ? -Infinity : told;
}
