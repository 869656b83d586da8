import { workOf } from '../workOf.js';
import { executionsWith, findLateExecutions } from './findLateExecutions.js';
import type { SoakInvariant } from './SoakInvariant.js';

function crashesByContent(body: string): boolean {
  const { crashes, parts = [] } = workOf(body);
  return crashes === true && parts.length === 0;
}

/** A request that has crashed three replicas is no longer forwarded. */
export const crashingRequests: SoakInvariant = {
  name: 'crashing-requests',
  description:
    'A request that has crashed three replicas is executed at most three more times once the gateways have had time to learn of it.',
  timed: true,
  check: (evidence, index) =>
    findLateExecutions(
      evidence,
      index,
      executionsWith(evidence, crashesByContent),
      { maxCrashes: 3, maxLateExecutions: 3 },
    ).map(({ id, replica }) => ({
      request: id,
      what: `executed at ${replica} after three crashes`,
    })),
};
