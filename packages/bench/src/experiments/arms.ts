import type { RouterOptions } from '@jujubecroft/decisions';
import {
  admitAll,
  DEFAULT_ROUTER_OPTIONS,
  defaultPolicies,
  firstCome,
  giveUp,
  leastCost,
  leastOutstanding,
  roundRobin,
  unlimited,
} from '@jujubecroft/decisions';

import type { Arm } from '../simulation/Arm.js';

/** Name of the arm that runs the router's default policies and options. */
export const FULL_POLICY_ARM = 'jujubecroft';

const BASELINE_OPTIONS: RouterOptions = {
  ...DEFAULT_ROUTER_OPTIONS,
  detectSilence: false,
  migrateFromStragglers: false,
};

const fullPolicy: Arm = {
  name: FULL_POLICY_ARM,
  policies: defaultPolicies,
  options: DEFAULT_ROUTER_OPTIONS,
  usePriorities: true,
};

/**
 * Baselines that every experiment runs: simple routing without admission
 * control or recovery.
 */
export const BASELINES: readonly Arm[] = [
  {
    name: 'round-robin',
    policies: board => ({
      admission: admitAll.create(board),
      ordering: firstCome.create(board),
      routing: roundRobin.create(board),
      concurrency: unlimited.create(board),
      recovery: giveUp.create(board),
    }),
    options: BASELINE_OPTIONS,
    usePriorities: false,
  },
  {
    name: 'least-outstanding',
    policies: board => ({
      admission: admitAll.create(board),
      ordering: firstCome.create(board),
      routing: leastOutstanding.create(board),
      concurrency: unlimited.create(board),
      recovery: giveUp.create(board),
    }),
    options: BASELINE_OPTIONS,
    usePriorities: false,
  },
];

/** The full policy with one mechanism disabled in each arm. */
export const ABLATIONS: readonly Arm[] = [
  {
    ...fullPolicy,
    name: 'without-admission',
    policies: board => ({
      ...defaultPolicies(board),
      admission: admitAll.create(board),
    }),
  },
  {
    ...fullPolicy,
    name: 'without-tiers',
    policies: board => ({
      ...defaultPolicies(board),
      ordering: firstCome.create(board),
    }),
    usePriorities: false,
  },
  {
    ...fullPolicy,
    name: 'without-limit',
    policies: board => ({
      ...defaultPolicies(board),
      concurrency: unlimited.create(board),
    }),
  },
  {
    ...fullPolicy,
    name: 'without-reports',
    policies: board => ({
      ...defaultPolicies(board),
      routing: leastCost.create(board, { reportWeight: 0 }),
    }),
  },
  {
    ...fullPolicy,
    name: 'without-affinity',
    policies: board => ({
      ...defaultPolicies(board),
      routing: leastCost.create(board, { prefixWorth: 0 }),
    }),
  },
  {
    ...fullPolicy,
    name: 'without-straggler-avoidance',
    policies: board => ({
      ...defaultPolicies(board),
      routing: leastCost.create(board, { avoidStragglers: false }),
    }),
  },
  {
    ...fullPolicy,
    name: 'without-migration',
    options: { ...DEFAULT_ROUTER_OPTIONS, migrateFromStragglers: false },
  },
  {
    ...fullPolicy,
    name: 'without-silence-detection',
    options: { ...DEFAULT_ROUTER_OPTIONS, detectSilence: false },
  },
  {
    ...fullPolicy,
    name: 'without-resume',
    policies: board => ({
      ...defaultPolicies(board),
      recovery: giveUp.create(board),
    }),
  },
];

/**
 * Selects the arms of an experiment.
 *
 * @param ablations - names of the ablations to run
 * @returns the full policy, then the baselines, then the ablations
 */
export function armsFor(ablations: readonly string[]): readonly Arm[] {
  return [
    fullPolicy,
    ...BASELINES,
    ...ABLATIONS.filter(({ name }) => ablations.includes(name)),
  ];
}
