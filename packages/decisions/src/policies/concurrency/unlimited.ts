import * as z from 'zod';

import { createPolicyUnit } from '../createPolicyUnit.js';
import type { ConcurrencyPolicy } from './ConcurrencyPolicy.js';

/** Baseline without limits on requests in flight. */
export const unlimited = createPolicyUnit<object, ConcurrencyPolicy>({
  name: 'unlimited',
  description: 'Sends every request on at once; a baseline without bounds.',
  schema: z.object({}),
  create: () => ({
    slots: () => Infinity,
    mayStart: () => true,
    adapt: () => undefined,
  }),
});
