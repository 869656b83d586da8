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

export const OWN_ARM = 'jujubecroft';

const PLAIN_OPTIONS: RouterOptions = {
  ...DEFAULT_ROUTER_OPTIONS,
  detectSilence: false,
  migrateFromStragglers: false,
};

const own: Arm = {
  name: OWN_ARM,
  policies: defaultPolicies,
  options: DEFAULT_ROUTER_OPTIONS,
  usePriorities: true,
};

/** Baselines that every experiment runs. */
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
    options: PLAIN_OPTIONS,
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
    options: PLAIN_OPTIONS,
    usePriorities: false,
  },
];

/** The own policy with one mechanism taken out. */
export const ABLATIONS: readonly Arm[] = [
  {
    ...own,
    name: 'without-admission',
    policies: board => ({
      ...defaultPolicies(board),
      admission: admitAll.create(board),
    }),
  },
  {
    ...own,
    name: 'without-tiers',
    policies: board => ({
      ...defaultPolicies(board),
      ordering: firstCome.create(board),
    }),
    usePriorities: false,
  },
  {
    ...own,
    name: 'without-limit',
    policies: board => ({
      ...defaultPolicies(board),
      concurrency: unlimited.create(board),
    }),
  },
  {
    ...own,
    name: 'without-reports',
    policies: board => ({
      ...defaultPolicies(board),
      routing: leastCost.create(board, { reportWeight: 0 }),
    }),
  },
  {
    ...own,
    name: 'without-affinity',
    policies: board => ({
      ...defaultPolicies(board),
      routing: leastCost.create(board, { prefixWorth: 0 }),
    }),
  },
  {
    ...own,
    name: 'without-straggler-avoidance',
    policies: board => ({
      ...defaultPolicies(board),
      routing: leastCost.create(board, { avoidStragglers: false }),
    }),
  },
  {
    ...own,
    name: 'without-migration',
    options: { ...DEFAULT_ROUTER_OPTIONS, migrateFromStragglers: false },
  },
  {
    ...own,
    name: 'without-silence-detection',
    options: { ...DEFAULT_ROUTER_OPTIONS, detectSilence: false },
  },
  {
    ...own,
    name: 'without-resume',
    policies: board => ({
      ...defaultPolicies(board),
      recovery: giveUp.create(board),
    }),
  },
];

/**
 * Chooses the arms of an experiment.
 *
 * @param ablations - names of ablations to run besides own policy and baselines
 * @returns the arms, own policy first
 */
export function armsFor(ablations: readonly string[]): readonly Arm[] {
  return [
    own,
    ...BASELINES,
    ...ABLATIONS.filter(({ name }) => ablations.includes(name)),
  ];
}
