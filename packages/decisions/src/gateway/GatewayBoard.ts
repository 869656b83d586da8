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
import { EngineEstimator } from './EngineEstimator.js';
import { ReplicaLimits } from './limits/ReplicaLimits.js';
import { RetryGain } from './recovery/RetryGain.js';
import { ReplicaRegistry } from './ReplicaRegistry.js';
import type { RetryBudgetRules } from './RetryBudget.js';
import { RetryBudget } from './RetryBudget.js';
import { DemandBook } from './RouteDemand.js';
import type { RoutingTable } from './RoutingTable.js';
import { StoreClock } from './StoreClock.js';

/** What is fixed for one instance of the gateway. */
export interface GatewayBoardOptions {
  readonly clock: Clock;
  readonly random: () => number;
  readonly instance: InstanceId;
  readonly failureDomain: FailureDomainId;
  readonly retryBudget: RetryBudgetRules;
  /** Null or absent where there are no duties that one instance does for all. */
  readonly duties?: DutySettings | null;
  /** Time of day in Unix milliseconds. */
  readonly timeOfDay?: () => number;
}

/** Learnt figures of one service. */
export interface ServiceLearning {
  readonly engine: EngineEstimator;
  /** Mean time of an answer of a plain service, in milliseconds. */
  answerMs: number;
}

/** The state that the gateway's controllers read and write. */
export interface GatewayBoard {
  readonly clock: Clock;
  readonly random: () => number;
  readonly instance: InstanceId;
  readonly failureDomain: FailureDomainId;
  readonly budget: RetryBudget;
  readonly crashes: CrashLedger;
  readonly limits: ReplicaLimits;
  readonly demand: DemandBook;
  readonly lengths: AnswerLengths;
  readonly retryGain: RetryGain;
  readonly storeClock: StoreClock;
  readonly replicas: ReplicaRegistry;
  /** Null where there are no duties that one instance does for all. */
  readonly duties: DutyBoard | null;
  /** Replicas that are used or still have attempts. */
  readonly backends: Map<BackendServerId, BackendLoad>;
  /** Earlier runs of replicas that started again, until their attempts are taken. */
  readonly earlierRuns: Set<BackendLoad>;
  readonly learning: Map<ServiceId, ServiceLearning>;
  readonly configurations: ConfigurationHistory;
  /** Null until a configuration is known. */
  table: RoutingTable | null;
  /** When the configuration was last known to be the newest, on the store's clock. */
  configurationAsOfMs: number;
  /** When the newest view that another instance told of was current, on that clock. */
  othersAsOfMs: number;
  /** Live instances, this one included. */
  instances: number;
}

/** Assumed before anything was seen. */
const PRIOR_ANSWER_MS = 100;

/**
 * Creates an empty blackboard.
 *
 * @param options - clock, random source and identity
 * @returns a board without configuration and replicas
 */
export function createGatewayBoard(options: GatewayBoardOptions): GatewayBoard {
  const { clock, random, instance, failureDomain, retryBudget } = options;
  const { duties: settings = null, timeOfDay = Date.now } = options;
  const storeClock = new StoreClock(clock);
  const replicas = new ReplicaRegistry(storeClock);
  return {
    clock,
    random,
    instance,
    failureDomain,
    budget: new RetryBudget(retryBudget, clock),
    crashes: new CrashLedger(clock),
    limits: new ReplicaLimits({ instance, clock, replicas }),
    demand: new DemandBook(clock),
    lengths: new AnswerLengths(),
    retryGain: new RetryGain(),
    storeClock,
    replicas,
    duties: settings && createDutyBoard({ settings, storeClock, timeOfDay }),
    backends: new Map(),
    earlierRuns: new Set(),
    learning: new Map(),
    configurations: new ConfigurationHistory(clock),
    table: null,
    configurationAsOfMs: -Infinity,
    othersAsOfMs: -Infinity,
    instances: 1,
  };
}

/** @returns what was learnt of a service, started anew where nothing was */
export function learningOf(
  board: GatewayBoard,
  service: ServiceId,
): ServiceLearning {
  const known = board.learning.get(service);
  if (known) {
    return known;
  }
  const learning: ServiceLearning = {
    engine: new EngineEstimator(),
    answerMs: PRIOR_ANSWER_MS,
  };
  board.learning.set(service, learning);
  return learning;
}

/** @returns the loads of a service's replicas that exist and are not leaving */
export function candidatesOf(
  board: GatewayBoard,
  service: ServiceId,
): readonly BackendLoad[] {
  return [...board.backends.values()].filter(
    ({ replica }) =>
      replica.service === service &&
      !replica.leaving &&
      board.replicas.find(replica.id) !== undefined,
  );
}
