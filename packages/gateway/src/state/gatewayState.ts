import type {
  RelayedLoadReport,
  LimitReport,
  ReplicaUse,
  PeerUpdate,
  ReplicaChanges,
  ReplicaRecord,
  RouteDemand,
  ObservedLength,
} from '@jujubecroft/decisions';
import type { proto } from '@jujubecroft/operator/peers';
import type {
  BackendServerId,
  FailureDomainId,
  Replica,
  RouteId,
  ServiceId,
  SoftwareVersion,
} from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import { fromWorkFields } from './workMessage.js';

/** Stands on the wire for the removal time of an entry that hasn't been removed. */
const NOT_GONE = -1;
/** Stands on the wire for a time that is unknown or never came. */
const UNKNOWN_TIME = -1;
/** Stands on the wire for a replica that no longer states a limit. */
const NO_LIMIT = -1;
/** Stands on the wire for an unknown start time of a replica. */
const UNKNOWN_START = 0;
/** Stands on the wire for an unknown software version. */
const UNKNOWN_VERSION = '';
/** Fields of a removed entry; only `exists` has a meaning. */
const REMOVED_ENTRY = {
  exists: false,
  service: '',
  address: '',
  failureDomain: '',
  slots: 0,
  leaving: false,
  coldMs: 0,
  spot: false,
  softwareVersion: UNKNOWN_VERSION,
} as const;

function runStartOf({ bornMs }: { readonly bornMs: number }): number | null {
  return bornMs === UNKNOWN_START ? null : bornMs;
}

function versionOf({
  softwareVersion,
}: {
  readonly softwareVersion: string;
}): SoftwareVersion | null {
  return softwareVersion === UNKNOWN_VERSION
    ? null
    : brand<SoftwareVersion>(softwareVersion);
}

/** Converts a replica record to its message. */
function toEntry(record: ReplicaRecord): proto.ReplicaEntry {
  const { id, replica, rowVersion, changedAt, bornMs, goneAtMs } = record;
  const content = replica
    ? {
        ...replica,
        exists: true,
        spot: replica.spot ?? false,
        softwareVersion: replica.softwareVersion ?? UNKNOWN_VERSION,
      }
    : REMOVED_ENTRY;
  return {
    ...content,
    id,
    entryVersion: rowVersion,
    changedAt,
    bornMs: bornMs ?? UNKNOWN_START,
    goneAtMs: goneAtMs ?? NOT_GONE,
  };
}

function fromEntry(entry: proto.ReplicaEntry): ReplicaRecord {
  const id = brand<BackendServerId>(entry.id);
  const bornMs = runStartOf(entry);
  const replica: Replica = {
    id,
    service: brand<ServiceId>(entry.service),
    address: entry.address,
    failureDomain: brand<FailureDomainId>(entry.failureDomain),
    softwareVersion: versionOf(entry),
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
 * Converts replica changes to message fields.
 *
 * @param changes - changes that the recipient lacks
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
    replicasAsOfMs: toStoreTime(changes.asOfMs),
    replicasComplete: changes.complete,
    replicasFrom: changes.from,
    replicas: changes.records.map(toEntry),
  };
}

/**
 * Reads the replica changes from a message.
 *
 * @param state - the message
 * @returns the changes
 */
export function fromReplicaFields(state: proto.GatewayState): ReplicaChanges {
  return {
    version: state.replicasVersion,
    asOfMs: fromStoreTime(state.replicasAsOfMs),
    complete: state.replicasComplete,
    from: state.replicasFrom,
    records: state.replicas.map(fromEntry),
  };
}

/** @returns the message fields for the load of this instance at each backend server */
export function toUses(uses: readonly ReplicaUse[]): proto.BackendUse[] {
  return uses.map(({ id, bornMs, inFlight, unreadByRank }) => ({
    backendServer: id,
    bornMs: bornMs ?? UNKNOWN_START,
    inFlight,
    // Expected cache hits make these fractions, but the message holds integers.
    unreadByRank: unreadByRank.map(Math.round),
  }));
}

/** @returns the message fields for the loads that replicas reported */
export function toReports(
  reports: readonly RelayedLoadReport[],
): proto.BackendReport[] {
  return reports.map(({ id, bornMs, total, ageMs }) => ({
    backendServer: id,
    bornMs: bornMs ?? UNKNOWN_START,
    total,
    ageMs: Math.round(ageMs),
  }));
}

/** @returns the message fields for the limits that replicas state */
export function toLimits(limits: readonly LimitReport[]): proto.BackendLimit[] {
  return limits.map(({ id, bornMs, perS, ageMs }) => ({
    backendServer: id,
    bornMs: bornMs ?? UNKNOWN_START,
    perS: perS ?? NO_LIMIT,
    ageMs: Math.round(ageMs),
  }));
}

/** @returns the replica limits in a message */
export function fromLimits(
  limits: readonly proto.BackendLimit[],
): readonly LimitReport[] {
  return limits.map(limit => ({
    id: brand<BackendServerId>(limit.backendServer),
    bornMs: runStartOf(limit),
    perS: limit.perS < 0 ? null : limit.perS,
    ageMs: limit.ageMs,
  }));
}

/**
 * Converts the demand of each route at this instance to message fields.
 *
 * @param demands - the demands
 * @param lengthOf - returns the answer length that was observed for a route
 * @returns the fields
 */
export function toDemands(
  demands: readonly RouteDemand[],
  lengthOf: (route: RouteId) => ObservedLength,
): proto.RouteDemand[] {
  return demands.map(demand => ({ ...demand, ...lengthOf(demand.route) }));
}

/** @returns the load of another instance, and the load reports that it has */
export function toPeerUpdate(state: proto.GatewayState): PeerUpdate {
  const { uses, demands, reports } = state;
  const work = fromWorkFields(state);
  return {
    ...(work ? { work } : {}),
    reports: reports.map(report => ({
      id: brand<BackendServerId>(report.backendServer),
      bornMs: runStartOf(report),
      total: report.total,
      ageMs: report.ageMs,
    })),
    uses: uses.map(use => ({
      id: brand<BackendServerId>(use.backendServer),
      bornMs: runStartOf(use),
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

/** @returns the message field for a time on the store's clock, in milliseconds */
export function toStoreTime(storeMs: number): number {
  return Number.isFinite(storeMs) ? storeMs : UNKNOWN_TIME;
}

/**
 * @returns the time on the store's clock in a message field; -Infinity if there is none
 */
export function fromStoreTime(field: number): number {
  return field < 0 ? -Infinity : field;
}
