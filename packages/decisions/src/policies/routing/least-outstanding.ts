import * as z from 'zod';

import type { BackendView } from '../../blackboard/BackendView.js';
import { createPolicyUnit } from '../createPolicyUnit.js';
import { isFit } from './isFit.js';
import type { RoutingPolicy } from './RoutingPolicy.js';

/** Baseline that chooses the server with the fewest own requests in flight. */
export const leastOutstanding = createPolicyUnit<object, RoutingPolicy>({
  name: 'least-outstanding',
  description:
    'Takes the server with the fewest own requests in flight; a baseline.',
  schema: z.object({}),
  create: board => (record, views, slots) => {
    const nowMs = board.clock();
    const start = Math.floor(board.random() * views.length);
    const rotated = [...views.slice(start), ...views.slice(0, start)];
    const view = rotated
      .filter(
        candidate =>
          isFit(candidate, record, nowMs) &&
          candidate.inFlight < slots(candidate, record),
      )
      .reduce<BackendView | undefined>(
        (best, next) => (!best || next.inFlight < best.inFlight ? next : best),
        undefined,
      );
    return { view, candidates: () => [] };
  },
});
