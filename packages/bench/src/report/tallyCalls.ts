import type { Deployment } from '@jujubecroft/settings';

import type { FinishedCall } from '../load/LoadRunner.js';
import type { ClassResult } from './ClassResult.js';
import { ClassTally } from './ClassTally.js';

/**
 * Computes the results by request class from finished calls.
 *
 * @param calls - finished calls
 * @param classes - declared request classes, with their tiers and targets
 * @param seconds - length of the load
 * @returns one result for each class
 */
export function tallyCalls(
  calls: readonly FinishedCall[],
  classes: Deployment['requestClasses'],
  seconds: number,
): readonly ClassResult[] {
  return classes.map(rules => {
    const tally = new ClassTally({ ...rules, name: rules.id });
    calls
      .filter(({ stream }) => stream.requestClass === rules.id)
      .forEach(({ answer }) => {
        tally.add(answer.outcome);
      });
    return tally.result(seconds);
  });
}
