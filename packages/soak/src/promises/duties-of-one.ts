import type { DutyCall, Evidence } from '../evidence.js';
import type { SoakInvariant, Violation } from './SoakInvariant.js';

function violationOf(
  { holder, token, window, counts }: DutyCall,
  earlierCalls: readonly DutyCall[],
): string | null {
  if (
    earlierCalls.some(other => other.token === token && other.holder !== holder)
  ) {
    return `two gateways used fencing token ${token}`;
  }
  const hasOtherCounts = earlierCalls.some(
    other => other.window === window && other.counts !== counts,
  );
  return hasOtherCounts
    ? `window ${window} was reported with different counts`
    : null;
}

function check({ dutyCalls }: Evidence): readonly Violation[] {
  return dutyCalls.flatMap((call, position) => {
    const what = violationOf(call, dutyCalls.slice(0, position));
    return what === null ? [] : [{ request: null, what }];
  });
}

/** Usage reports of all gateways are made by one holder per token, without conflicts. */
export const dutiesOfOne: SoakInvariant = {
  name: 'duties-of-one',
  description:
    'Each fencing token of usage reports belongs to one gateway, and all reports of a window have the same counts.',
  timed: false,
  check,
};
