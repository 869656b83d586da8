import type {
  BackendServerId,
  FailureDomainId,
  InstanceId,
  ServiceId,
} from '@jujubecroft/types';

import type { Clock } from '../blackboard/Blackboard.js';
import type { DutyBoard, DutySettings } from '../duties/DutyBoard.js';
import { createDutyBoard } from '../duties/DutyBoard.js';
import { AnswerLengths } from './AnswerLengths.js';
import type { BackendLoad } from './BackendLoad.js';
import { ConfigurationHistory } from './ConfigurationHistory.js';
import { CrashLedger } from './crashes/CrashLedger.js';
import { serviceSizeOf } from './crashes/serviceSizeOf.js';
import { EngineEstimator } from './EngineEstimator.js';
import { ReplicaLimits } from './limits/ReplicaLimits.js';
import { RelayPeers } from './paths/RelayPeers.js';
import { ReplicaPaths } from './paths/ReplicaPaths.js';
import { RetryGain } from './recovery/RetryGain.js';
import { ReplicaPauses } from './ReplicaPauses.js';
import { ReplicaRegistry } from './ReplicaRegistry.js';
import type { RetryBudgetRules } from './RetryBudget.js';
import { RetryBudget } from './RetryBudget.js';
import { DemandTracker } from './RouteDemand.js';
import type { RoutingTable } from './RoutingTable.js';
import { FleetSpeeds } from './speed/FleetSpeeds.js';
import { OrganisationShares } from './shares/OrganisationShares.js';
import { StoreClock } from './StoreClock.js';
import { StoreOutage } from './StoreOutage.js';
import { VersionHistory } from './streams/VersionHistory.js';

/**
 * Settings and dependencies that are fixed for the lifetime of one instance.
 */
export interface GatewayBoardOptions {
  readonly clock: Clock;
  readonly random: () => number;
  readonly instance: InstanceId;
  readonly failureDomain: FailureDomainId;
  readonly retryBudget: RetryBudgetRules;
  /**
   * Settings of duties, which one instance performs for all; null or absent for
   * none.
   */
  readonly duties?: DutySettings | null;
  /**
   * Whether capacity is divided among organisations while it is short; false if
   * omitted.
   */
  readonly dividesCapacity?: boolean;
  /** Wall-clock time in Unix milliseconds. */
  readonly timeOfDay?: () => number;
}

/** Quantities estimated for one service from observed answers. */
export interface ServiceEstimates {
  readonly engine: EngineEstimator;
  /**
   * Mean time to a complete answer of a plain service, that is, one without an
   * engine, in milliseconds.
   */
  answerMs: number;
}

/** Shared state (blackboard) that the gateway's controllers read and write. */
export interface GatewayBoard {
  readonly clock: Clock;
  readonly random: () => number;
  readonly instance: InstanceId;
  readonly failureDomain: FailureDomainId;
  readonly budget: RetryBudget;
  readonly crashes: CrashLedger;
  readonly limits: ReplicaLimits;
  readonly pauses: ReplicaPauses;
  /** Paths from this instance to replicas. */
  readonly paths: ReplicaPaths;
  /** Other instances as ways to replicas. */
  readonly relays: RelayPeers;
  readonly demand: DemandTracker;
  readonly lengths: AnswerLengths;
  readonly retryGain: RetryGain;
  readonly storeClock: StoreClock;
  readonly outage: StoreOutage;
  readonly replicas: ReplicaRegistry;
  /** Software versions that replicas have had. */
  readonly versions: VersionHistory;
  /**
   * State of the duties, which one instance performs for all; null for none.
   */
  readonly duties: DutyBoard | null;
  /** Shares of organisations; null where capacity is not divided. */
  readonly shares: OrganisationShares | null;
  /** Load of each replica that is in use or still has attempts. */
  readonly backends: Map<BackendServerId, BackendLoad>;
  /**
   * Loads of runs that a restart of their replica has superseded, kept until
   * their attempts have been withdrawn.
   */
  readonly supersededRuns: Set<BackendLoad>;
  /**
   * Those of them that have attempts, and may go on although their entry shows a restart.
   */
  readonly doubtfulRuns: Set<BackendLoad>;
  readonly estimates: Map<ServiceId, ServiceEstimates>;
  /** Lasting speeds of replicas, where they are uneven. */
  readonly speeds: FleetSpeeds;
  readonly configurations: ConfigurationHistory;
  /** Look-up tables of the configuration in force; null until one is known. */
  table: RoutingTable | null;
  /**
   * When the configuration was last known to be the newest, on the store's
   * clock.
   */
  configurationAsOfMs: number;
  /**
   * When the newest view reported by another instance was current, on the
   * store's clock.
   */
  peersAsOfMs: number;
  /**
   * Source that last confirmed the view of the replicas, for the log: `store` or
   * the id of an instance; null before the first.
   */
  replicasConfirmedBy: string | null;
  /** Number of live instances, including this one. */
  instances: number;
  /**
   * Number of other instances that have not left, whether or not they can be
   * reached.
   */
  otherMembers: number;
}

/** Mean answer time assumed before any answer was observed. */
const INITIAL_ANSWER_MS = 100;

/**
 * Creates a blackboard without configuration and replicas.
 *
 * @param options - clocks, random source, identity and rules of the instance
 * @returns the blackboard
 */
export function createGatewayBoard(options: GatewayBoardOptions): GatewayBoard {
  const { clock, random, instance, failureDomain, retryBudget } = options;
  const { duties: settings = null, timeOfDay = Date.now } = options;
  const { dividesCapacity = false } = options;
  const storeClock = new StoreClock(clock);
  const replicas = new ReplicaRegistry(storeClock);
  const backends = new Map<BackendServerId, BackendLoad>();
  return {
    clock,
    random,
    instance,
    failureDomain,
    budget: new RetryBudget(retryBudget, clock),
    crashes: new CrashLedger(clock, instance, id =>
      serviceSizeOf(replicas, id),
    ),
    limits: new ReplicaLimits({ instance, clock, replicas }),
    pauses: new ReplicaPauses(clock, random),
    paths: new ReplicaPaths(clock, random),
    relays: new RelayPeers(clock, random),
    demand: new DemandTracker(clock),
    lengths: new AnswerLengths(),
    retryGain: new RetryGain(),
    storeClock,
    outage: new StoreOutage(clock),
    replicas,
    versions: new VersionHistory(clock, () => replicas.unseenRemovals),
    duties: settings && createDutyBoard({ settings, storeClock, timeOfDay }),
    shares: dividesCapacity
      ? new OrganisationShares({ clock, random, timeOfDay })
      : null,
    backends,
    supersededRuns: new Set(),
    doubtfulRuns: new Set(),
    estimates: new Map(),
    speeds: new FleetSpeeds(clock, backends),
    configurations: new ConfigurationHistory(clock),
    table: null,
    configurationAsOfMs: -Infinity,
    peersAsOfMs: -Infinity,
    replicasConfirmedBy: null,
    instances: 1,
    otherMembers: 0,
  };
}

/**
 * Returns the estimates for a service, creating initial ones if there are none.
 *
 * @param board - the blackboard
 * @param service - id of the service
 */
export function estimatesOf(
  board: GatewayBoard,
  service: ServiceId,
): ServiceEstimates {
  const known = board.estimates.get(service);
  if (known) {
    return known;
  }
  const estimates: ServiceEstimates = {
    engine: new EngineEstimator(),
    answerMs: INITIAL_ANSWER_MS,
  };
  board.estimates.set(service, estimates);
  return estimates;
}

/**
 * Returns the loads of a service's registered replicas that are not leaving.
 *
 * @param board - the blackboard
 * @param service - id of the service
 */
export function candidatesOf(
  board: GatewayBoard,
  service: ServiceId,
): readonly BackendLoad[] {
  const candidates: BackendLoad[] = [];
  board.backends.forEach(load => {
    const { id, service: own, leaving } = load.replica;
    if (own === service && !leaving && board.replicas.has(id)) {
      candidates.push(load);
    }
  });
  return candidates;
}
