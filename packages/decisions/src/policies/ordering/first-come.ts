import * as z from 'zod';

import type { ClassQueue } from '../../blackboard/ClassQueue.js';
import type { OrderingPolicy } from '../../blackboard/RequestQueue.js';
import { createPolicyUnit } from '../createPolicyUnit.js';

const arrival = (queue: ClassQueue): number =>
  queue.peek()?.arrivedAtMs ?? Infinity;

/** Baseline that serves requests in order of arrival. */
export const firstCome = createPolicyUnit<object, OrderingPolicy>({
  name: 'first-come',
  description:
    'Serves requests in order of arrival whatever their tier; a baseline.',
  schema: z.object({}),
  create: () => classes => {
    const waiting = classes.filter(queue => queue.length > 0);
    const queue = waiting.reduce<ClassQueue | undefined>(
      (best, next) => (!best || arrival(next) < arrival(best) ? next : best),
      undefined,
    );
    return queue && { queue, guaranteed: false };
  },
});
