import type {
  BackendServerId,
  ClassId,
  Configuration,
  DecisionEvent,
  FailureDomainId,
  InstanceId,
  Organisation,
  OrganisationId,
  RequestClass,
  RequestId,
  ResultCodeId,
} from '@jujubecroft/types';
import { EMPTY_CONFIGURATION } from '@jujubecroft/types';

import { LengthEstimator } from '../estimators/LengthEstimator.js';
import { OrganisationLimits } from '../limits/OrganisationLimits.js';
import type { BackendView } from './BackendView.js';
import { PoolLoad } from './PoolLoad.js';
import { RequestQueue } from './RequestQueue.js';
import type { Attempt, RequestRecord } from './RoutedRequest.js';

/** Monotonic clock in milliseconds with an arbitrary origin; virtual in experiments. */
export type Clock = () => number;

/** Final refusal of a request. */
export interface Refusal {
  readonly code: ResultCodeId;
  readonly retryAfterMs: number;
  readonly predictedWaitMs: number;
  readonly budgetMs: number;
}

/** Why an attempt is cancelled. */
export type CancelReason = 'callerLeft' | 'migrated' | 'silent';

/** Actions that the decision logic asks its host to perform. */
export interface Effects {
  readonly dispatch: (record: RequestRecord, attempt: Attempt) => void;
  readonly cancel: (
    record: RequestRecord,
    attempt: Attempt,
    reason: CancelReason,
  ) => void;
  readonly refuse: (record: RequestRecord, refusal: Refusal) => void;
  readonly explain: (event: DecisionEvent) => void;
  /** Whether anyone currently reads the candidates of routing decisions. */
  readonly needsCandidates: () => boolean;
}

/** Identity of this instance and its view of the fleet. */
export interface Placement {
  readonly instance: InstanceId;
  readonly failureDomain: FailureDomainId;
  /** Live instances, including this one. */
  readonly instances: readonly InstanceId[];
}

/** Shared state that the controllers and policies read and write; one per instance. */
export interface Blackboard {
  readonly clock: Clock;
  readonly random: () => number;
  readonly effects: Effects;
  placement: Placement;
  cfg: Configuration;
  /** Declared entities by id, rebuilt with each configuration. */
  declared: DeclaredEntities;
  readonly backends: Map<BackendServerId, BackendView>;
  /** Views by pool key; contains only servers in the subset of this instance. */
  readonly pools: Map<string, BackendView[]>;
  readonly queues: Map<string, RequestQueue>;
  readonly loads: Map<string, PoolLoad>;
  readonly requests: Map<RequestId, RequestRecord>;
  readonly lengths: LengthEstimator;
  readonly limits: OrganisationLimits;
  /** Retries that each request class may still use; may be fractional. */
  readonly retryCredits: Map<ClassId, number>;
}

/** Indexes of the entities that are looked up for every request. */
export interface DeclaredEntities {
  readonly organisations: ReadonlyMap<OrganisationId, Organisation>;
  /** By SHA-256 hash of the organisation's key. */
  readonly organisationsByKey: ReadonlyMap<string, Organisation>;
  readonly requestClasses: ReadonlyMap<ClassId, RequestClass>;
}

/**
 * Builds the indexes of a configuration.
 *
 * @param cfg - the configuration
 * @returns organisations by id and by key hash, and request classes by id
 */
export function indexEntities(cfg: Configuration): DeclaredEntities {
  return {
    organisations: new Map(cfg.organisations.map(entry => [entry.id, entry])),
    organisationsByKey: new Map(
      cfg.organisations.map(entry => [entry.keySha256, entry]),
    ),
    requestClasses: new Map(cfg.requestClasses.map(entry => [entry.id, entry])),
  };
}

/** Dependencies of a {@link Blackboard}. */
export interface BlackboardOptions {
  readonly clock: Clock;
  readonly random: () => number;
  readonly effects: Effects;
  readonly placement: Placement;
}

/**
 * Creates an empty blackboard.
 *
 * @param options - clock, seeded random source, effects and placement of this instance
 * @returns a blackboard without configuration
 */
export function createBlackboard(options: BlackboardOptions): Blackboard {
  return {
    ...options,
    cfg: EMPTY_CONFIGURATION,
    declared: indexEntities(EMPTY_CONFIGURATION),
    backends: new Map(),
    pools: new Map(),
    queues: new Map(),
    loads: new Map(),
    requests: new Map(),
    lengths: new LengthEstimator(),
    limits: new OrganisationLimits(),
    retryCredits: new Map(),
  };
}

/**
 * Finds the queue of a pool, or creates it on first use.
 *
 * @param board - the blackboard
 * @param pool - key made by `poolKey`
 * @returns the queue
 */
export function queueOf(board: Blackboard, pool: string): RequestQueue {
  const known = board.queues.get(pool);
  if (known) {
    return known;
  }
  const queue = new RequestQueue();
  board.queues.set(pool, queue);
  return queue;
}

/**
 * Finds the load of a pool, or creates it on first use.
 *
 * @param board - the blackboard
 * @param pool - key made by `poolKey`
 * @returns the load
 */
export function loadOf(board: Blackboard, pool: string): PoolLoad {
  const known = board.loads.get(pool);
  if (known) {
    return known;
  }
  const load = new PoolLoad(board.clock());
  board.loads.set(pool, load);
  return load;
}
