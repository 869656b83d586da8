import * as z from 'zod';

import { createPolicyUnit } from '../createPolicyUnit.js';
import type { RecoveryPolicy } from './RecoveryPolicy.js';

/** Baseline that passes every failure on to the caller. */
export const giveUp = createPolicyUnit<object, RecoveryPolicy>({
  name: 'give-up',
  description: 'Ends a request at its first failed attempt; a baseline.',
  schema: z.object({}),
  create: () => () => 'fail',
});
