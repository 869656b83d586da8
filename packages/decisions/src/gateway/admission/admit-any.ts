import * as z from 'zod';

import { createPolicyUnit } from '../../policies/createPolicyUnit.js';
import type { GatewayBoard } from '../GatewayBoard.js';
import type { GatewayAdmission } from './GatewayAdmission.js';

/**
 * Admits every request; a baseline, and suitable for services that are rarely
 * full.
 */
export const admitAny = createPolicyUnit<
  object,
  GatewayAdmission,
  GatewayBoard
>({
  name: 'admit-any',
  description: 'Lets every request in; a baseline.',
  schema: z.object({}),
  create: () => (_request, best) => ({
    admit: true,
    predictedMs: best.predictedMs,
    allowedMs: Infinity,
    predictedWholeMs: best.predictedWholeMs,
    allowedWholeMs: Infinity,
    retryAfterMs: 0,
  }),
});
