import type { PolicyMeta } from './PolicyUnit.js';
import { admitAny } from '../gateway/admission/admit-any.js';
import { firstEventTarget } from '../gateway/admission/first-event-target.js';
import { leastBusy } from '../gateway/placement/least-busy.js';
import { toleranceSplit } from '../gateway/placement/tolerance-split.js';
import { admitAll } from './admission/admit-all.js';
import { predictive } from './admission/predictive.js';
import { adaptiveLimit } from './concurrency/adaptive-limit.js';
import { unlimited } from './concurrency/unlimited.js';
import { firstCome } from './ordering/first-come.js';
import { tieredFair } from './ordering/tiered-fair.js';
import { budgetedResume } from './recovery/budgeted-resume.js';
import { giveUp } from './recovery/give-up.js';
import { leastCost } from './routing/least-cost.js';
import { leastOutstanding } from './routing/least-outstanding.js';
import { roundRobin } from './routing/round-robin.js';

/** Description of a policy of any kind, without its option schema. */
export type CatalogueEntry = Omit<PolicyMeta<object>, 'schema'>;

/** Every policy; docs/policies/ has a page for each. */
export const POLICY_CATALOGUE: readonly CatalogueEntry[] = [
  adaptiveLimit.meta,
  admitAll.meta,
  admitAny.meta,
  budgetedResume.meta,
  firstCome.meta,
  firstEventTarget.meta,
  giveUp.meta,
  leastBusy.meta,
  leastCost.meta,
  leastOutstanding.meta,
  predictive.meta,
  roundRobin.meta,
  tieredFair.meta,
  toleranceSplit.meta,
  unlimited.meta,
];
