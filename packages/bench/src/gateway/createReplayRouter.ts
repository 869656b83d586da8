import type { GatewayBoard, GatewayPolicies } from '@jujubecroft/decisions';
import { createGatewayBoard, GatewayRouter } from '@jujubecroft/decisions';
import type {
  BackendServerId,
  FailureDomainId,
  InstanceId,
  Replica,
  SoftwareVersion,
} from '@jujubecroft/types';
import { brand, createRandom } from '@jujubecroft/types';

import { PROMPT_SERVICE } from './burstLoad.js';
import type { ReplayShape } from './replayShapes.js';

/** Creates the policies of one instance; replays compare several such factories. */
export type GatewayPolicyFactory = (board: GatewayBoard) => GatewayPolicies;

/** Inputs that all instances of one replay share. */
export interface ReplayContext {
  readonly clock: () => number;
  readonly createPolicies: GatewayPolicyFactory;
  readonly seed: number;
  readonly shape: ReplayShape;
}

const FAILURE_DOMAINS = ['a', 'b', 'c'];

function domainOf(index: number): FailureDomainId {
  return brand<FailureDomainId>(
    FAILURE_DOMAINS[index % FAILURE_DOMAINS.length] ?? 'a',
  );
}

/** Creates a replica of the only service of the load. */
export function createReplica(index: number, slots: number): Replica {
  return {
    id: brand<BackendServerId>(`engine-${index}`),
    service: PROMPT_SERVICE,
    address: `engine-${index}`,
    failureDomain: domainOf(index),
    slots,
    leaving: false,
    coldMs: 0,
    softwareVersion: brand<SoftwareVersion>('v1'),
    bornMs: null,
  };
}

/**
 * Creates the decision logic of one instance, with configuration, replicas and peers already known to it.
 *
 * @param context - inputs that all instances share
 * @param index - number of the instance, from 0
 * @param replicas - replicas of the service
 * @returns the router of the instance
 */
export function createReplayRouter(
  { clock, createPolicies, seed, shape }: ReplayContext,
  index: number,
  replicas: readonly Replica[],
): GatewayRouter {
  const board = createGatewayBoard({
    clock,
    random: createRandom(seed * shape.instances + index),
    instance: brand<InstanceId>(`entry-${index}`),
    failureDomain: domainOf(index),
    retryBudget: { ratio: 0.2, extra: 50, windowMs: 10_000 },
    dividesCapacity: shape.dividesCapacity ?? false,
    timeOfDay: clock,
  });
  const router = new GatewayRouter(board, createPolicies(board));
  router.configure({
    version: 1,
    routes: shape.load.kinds.map(({ route }) => route),
    services: [
      {
        id: PROMPT_SERVICE,
        maxConnections: 1000,
        engine: {
          slots: shape.slots,
          kvCapacityTokens: 700_000,
          tokensPerEvent: shape.load.engine.tokensPerEvent,
          transfer: shape.load.transfer,
        },
      },
    ],
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
    organisations: shape.load.organisations,
  });
  board.replicas.applySnapshot(
    replicas.map(replica => ({ id: replica.id, rowVersion: 1, replica })),
    1,
    0,
  );
  router.syncReplicas();
  const instances = Array.from({ length: shape.instances }, (_, other) =>
    brand<InstanceId>(`entry-${other}`),
  );
  router.onInstances(instances);
  return router;
}
