import type { DutyNote, Evidence } from '../evidence.js';
import type { Breach, SoakPromise } from './SoakPromise.js';

function breachOf(
  { holder, token, window, counts }: DutyNote,
  before: readonly DutyNote[],
): string | null {
  if (before.some(other => other.token === token && other.holder !== holder)) {
    return `two gateways called with token ${token}`;
  }
  const isRecount = before.some(
    other => other.window === window && other.counts !== counts,
  );
  return isRecount ? `window ${window} was reported with two counts` : null;
}

function check({ dutyCalls }: Evidence): readonly Breach[] {
  return dutyCalls.flatMap((call, place) => {
    const what = breachOf(call, dutyCalls.slice(0, place));
    return what === null ? [] : [{ request: null, what }];
  });
}

/** What one gateway does for all is done in one name and said once. */
export const dutiesOfOne: SoakPromise = {
  name: 'duties-of-one',
  description:
    'Calls that one gateway makes for all bear a token of its own, and say the same of a window each time.',
  timed: false,
  check,
};
