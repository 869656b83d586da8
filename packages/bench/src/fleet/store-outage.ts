import { z } from 'zod';

import type { LocalFleet } from '../demo/LocalFleet.js';
import type { FinishedCall } from '../load/LoadRunner.js';
import type { FleetExperiment } from './FleetExperiment.js';
import { LoadedFleet, shareOfRunMs, wait } from './LoadedFleet.js';

const FLEET_SIZE = { instances: 6, engines: 4, services: 2 };
const DEFAULT_SECONDS = 20;
const DOWN_AT_SHARE = 0.25;
const UP_AT_SHARE = 0.65;
const MS_PER_SECOND = 1000;
/**
 * Result code of a call refused because its idempotency claim could not be
 * stored.
 */
const CLAIM_UNAVAILABLE_CODE = 3006;

const countsSchema = z.object({ reads: z.number(), writes: z.number() });

async function readTableCounts(fleet: LocalFleet) {
  return countsSchema.parse(
    await fleet.read(fleet.platformUrl, '/control/counts'),
  );
}

const isServiceCall = ({ stream }: FinishedCall): boolean =>
  'service' in stream.target;

/** The whole platform is unavailable for 40 % of the run, then recovers. */
export const storeOutage: FleetExperiment = {
  meta: {
    name: 'store-outage',
    description:
      'The platform is down for four tenths of the run; engine calls go on, keyed calls are refused as not run.',
  },
  run: async ({ seed, seconds }) => {
    const length = seconds ?? DEFAULT_SECONDS;
    const loaded = new LoadedFleet(FLEET_SIZE);
    let callsDuring: readonly FinishedCall[] = [];
    const result = await loaded.run(
      'store-outage',
      seed,
      length,
      async fleet => {
        await wait(shareOfRunMs(length, DOWN_AT_SHARE));
        await fleet.setFaults(fleet.platformUrl, { down: true });
        const first = loaded.calls.length;
        await wait(shareOfRunMs(length, UP_AT_SHARE - DOWN_AT_SHARE));
        callsDuring = loaded.calls.slice(first);
        await fleet.setFaults(fleet.platformUrl, { down: false });
        const before = await readTableCounts(fleet);
        const restMs = shareOfRunMs(length, 1 - UP_AT_SHARE);
        await wait(restMs);
        const after = await readTableCounts(fleet);
        const perSecond = MS_PER_SECOND / restMs;
        return {
          readsPerSecondAfter: (after.reads - before.reads) * perSecond,
          writesPerSecondAfter: (after.writes - before.writes) * perSecond,
        };
      },
    );
    const engineCalls = callsDuring.filter(call => !isServiceCall(call));
    const whole = engineCalls.filter(
      ({ answer }) => answer.outcome.kind === 'whole',
    );
    return {
      ...result,
      figures: {
        ...result.figures,
        engineCallsDuring: engineCalls.length,
        engineCallsWholeDuring: whole.length,
        keyedRefusedNotRun: callsDuring.filter(
          ({ answer }) => answer.code === CLAIM_UNAVAILABLE_CODE,
        ).length,
      },
    };
  },
};
