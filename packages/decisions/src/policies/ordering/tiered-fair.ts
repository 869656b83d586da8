import * as z from 'zod';

import type { ClassQueue } from '../../blackboard/ClassQueue.js';
import type { OrderingPolicy } from '../../blackboard/RequestQueue.js';
import { createPolicyUnit } from '../createPolicyUnit.js';

/**
 * Time by which the first token of the queue's head is due; Infinity if it is
 * empty.
 */
function deadlineMs(queue: ClassQueue): number {
  const head = queue.peek();
  return head ? head.arrivedAtMs + queue.rules.firstTokenTargetMs : Infinity;
}

/**
 * Lower tier number first; within a tier the earliest first-token deadline
 * first.
 */
function precedes(a: ClassQueue, b: ClassQueue): boolean {
  return a.rules.tier === b.rules.tier
    ? deadlineMs(a) < deadlineMs(b)
    : a.rules.tier < b.rules.tier;
}

/**
 * Whether a class has enough credit from its guaranteed share for its next
 * request.
 */
function isOwed(queue: ClassQueue): boolean {
  const head = queue.peek();
  return head !== undefined && queue.credit >= head.expectedTokens;
}

function first(
  queues: readonly ClassQueue[],
  before: (a: ClassQueue, b: ClassQueue) => boolean,
): ClassQueue | undefined {
  return queues.reduce<ClassQueue | undefined>(
    (best, next) => (!best || before(next, best) ? next : best),
    undefined,
  );
}

/** Serves by tier, then by deadline, with a guaranteed share for each class. */
export const tieredFair = createPolicyUnit<object, OrderingPolicy>({
  name: 'tiered-fair',
  description:
    'Serves the highest tier first and the earliest deadline within a tier; a class whose guaranteed share is unpaid goes before its tier.',
  schema: z.object({}),
  create: () => classes => {
    const waiting = classes.filter(queue => queue.peek() !== undefined);
    const owed = first(
      waiting.filter(isOwed),
      (a, b) => a.credit - b.credit > 0,
    );
    if (owed) {
      return { queue: owed, guaranteed: true };
    }
    const queue = first(waiting, precedes);
    return queue && { queue, guaranteed: false };
  },
});
