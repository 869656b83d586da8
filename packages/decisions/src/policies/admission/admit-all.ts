import * as z from 'zod';

import { createPolicyUnit } from '../createPolicyUnit.js';
import type { AdmissionPolicy } from './AdmissionPolicy.js';

/** Baseline that never sheds a request at arrival. */
export const admitAll = createPolicyUnit<object, AdmissionPolicy>({
  name: 'admit-all',
  description: 'Admits every request; a baseline that never sheds at arrival.',
  schema: z.object({}),
  create: () => record => ({
    admit: true,
    predictedWaitMs: 0,
    budgetMs: record.rules.maxQueueMs,
    retryAfterMs: 0,
  }),
});
