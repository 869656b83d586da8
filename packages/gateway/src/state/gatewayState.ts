import type {
  HeardReport,
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
} as const;

function startOf({ bornMs }: { readonly bornMs: number }): number | null {
  return bornMs === UNKNOWN_START ? null : bornMs;
}

/**
 * Turns a replica record into its message.
 *
 * @param record - as the registry keeps it
 * @param nowMs - on the local clock, for the time until it counts as gone
 */
function toEntry(record: ReplicaRecord, nowMs: number): proto.ReplicaEntry {
  const { id, replica, rowVersion, changedAt, bornMs, goneAtMs } = record;
  const goneInMs = goneAtMs === null ? STANDS : Math.max(0, goneAtMs - nowMs);
  const content = replica ? { ...replica, exists: true } : REMOVED;
  return {
    ...content,
    id,
    entryVersion: rowVersion,
    changedAt,
    bornMs: bornMs ?? UNKNOWN_START,
    goneInMs,
  };
}

function fromEntry(entry: proto.ReplicaEntry, nowMs: number): ReplicaRecord {
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
  };
  return {
    id,
    replica: entry.exists ? replica : null,
    rowVersion: entry.entryVersion,
    changedAt: entry.changedAt,
    bornMs,
    goneAtMs: entry.goneInMs < 0 ? null : nowMs + entry.goneInMs,
  };
}

/**
 * Turns changes of replicas into the fields of a message.
 *
 * @param changes - what the other side lacks
 * @param nowMs - on the local clock
 * @returns the fields
 */
export function toReplicaFields(
  changes: ReplicaChanges,
  nowMs: number,
): Pick<
  proto.GatewayState,
  | 'replicas'
  | 'replicasAgeMs'
  | 'replicasComplete'
  | 'replicasFrom'
  | 'replicasVersion'
> {
  return {
    replicasVersion: changes.version,
    replicasAgeMs: finite(changes.ageMs),
    replicasComplete: changes.complete,
    replicasFrom: changes.from,
    replicas: changes.records.map(record => toEntry(record, nowMs)),
  };
}

/**
 * Reads the changes of replicas out of a message.
 *
 * @param state - the message
 * @param nowMs - on the local clock
 * @returns the changes
 */
export function fromReplicaFields(
  state: proto.GatewayState,
  nowMs: number,
): ReplicaChanges {
  return {
    version: state.replicasVersion,
    ageMs: state.replicasAgeMs,
    complete: state.replicasComplete,
    from: state.replicasFrom,
    records: state.replicas.map(entry => fromEntry(entry, nowMs)),
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

/** An age that was never known is sent as a very old one. */
export function finite(ageMs: number): number {
  return Number.isFinite(ageMs) ? ageMs : Number.MAX_SAFE_INTEGER;
}
