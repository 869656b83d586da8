import * as z from 'zod';

import { createPolicyUnit } from '../createPolicyUnit.js';
import { isFit } from './isFit.js';
import type { RoutingPolicy } from './RoutingPolicy.js';

/** Baseline that chooses servers in turn. */
export const roundRobin = createPolicyUnit<object, RoutingPolicy>({
  name: 'round-robin',
  description: 'Takes the servers of a pool in turn; a baseline.',
  schema: z.object({}),
  create: board => {
    let turn = Math.floor(board.random() * 1024);
    return (record, views, slots) => {
      const nowMs = board.clock();
      const open = views.filter(
        view =>
          isFit(view, record, nowMs) && view.inFlight < slots(view, record),
      );
      turn += 1;
      return { view: open[turn % open.length], candidates: () => [] };
    };
  },
});
