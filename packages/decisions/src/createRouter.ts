import type { BlackboardOptions } from './blackboard/Blackboard.js';
import { createBlackboard } from './blackboard/Blackboard.js';
import { predictive } from './policies/admission/predictive.js';
import { adaptiveLimit } from './policies/concurrency/adaptive-limit.js';
import { tieredFair } from './policies/ordering/tiered-fair.js';
import { budgetedResume } from './policies/recovery/budgeted-resume.js';
import { leastCost } from './policies/routing/least-cost.js';
import type { RouterOptions, RouterPolicies } from './Router.js';
import { Router } from './Router.js';
import type { Blackboard } from './blackboard/Blackboard.js';

/** Builds the policies of a router on its blackboard. */
export type PolicyFactory = (board: Blackboard) => RouterPolicies;

/** Settings used when none are given to {@link createRouter}. */
export const DEFAULT_ROUTER_OPTIONS: RouterOptions = {
  subsetSize: 24,
  serverBudget: 96,
  detectSilence: true,
  migrateFromStragglers: true,
};

/**
 * Creates the default policies.
 *
 * @param board - blackboard of the router
 * @returns one policy of each kind
 */
export function defaultPolicies(board: Blackboard): RouterPolicies {
  return {
    admission: predictive.create(board),
    ordering: tieredFair.create(board),
    routing: leastCost.create(board),
    concurrency: adaptiveLimit.create(board),
    recovery: budgetedResume.create(board),
  };
}

/**
 * Creates the decision logic of one instance.
 *
 * @param options - clock, seeded random source, effects and placement
 * @param policies - creates the policies
 * @param routerOptions - settings besides the policies
 * @returns a router without configuration
 */
export function createRouter(
  options: BlackboardOptions,
  policies: PolicyFactory = defaultPolicies,
  routerOptions: RouterOptions = DEFAULT_ROUTER_OPTIONS,
): Router {
  const board = createBlackboard(options);
  return new Router(board, policies(board), routerOptions);
}
