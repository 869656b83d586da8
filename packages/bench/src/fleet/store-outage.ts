import { z } from 'zod';

import type { LocalFleet } from '../demo/LocalFleet.js';
import type { FinishedCall } from '../load/LoadRunner.js';
import type { FleetExperiment } from './FleetExperiment.js';
import { LoadedFleet, partOf, wait } from './LoadedFleet.js';

const SIZE = { instances: 6, engines: 4, services: 2 };
const SECONDS = 20;
const DOWN_AT = 0.25;
const UP_AT = 0.65;
const MS_PER_SECOND = 1000;
const CLAIM_UNAVAILABLE = 3006;

const countsSchema = z.object({ reads: z.number(), writes: z.number() });

async function countsOf(fleet: LocalFleet) {
  return countsSchema.parse(
    await fleet.read(fleet.platformUrl, '/control/counts'),
  );
}

const isKeyed = ({ stream }: FinishedCall): boolean =>
  'service' in stream.target;

/** The whole platform is down for a while, then comes back. */
export const storeOutage: FleetExperiment = {
  meta: {
    name: 'store-outage',
    description:
      'The platform is down for four tenths of the run; engine calls go on, keyed calls are refused as not run.',
  },
  run: async ({ seed, seconds }) => {
    const length = seconds ?? SECONDS;
    const loaded = new LoadedFleet(SIZE);
    let during: readonly FinishedCall[] = [];
    const result = await loaded.run(
      'store-outage',
      seed,
      length,
      async fleet => {
        await wait(partOf(length, DOWN_AT));
        await fleet.setFaults(fleet.platformUrl, { down: true });
        const first = loaded.calls.length;
        await wait(partOf(length, UP_AT - DOWN_AT));
        during = loaded.calls.slice(first);
        await fleet.setFaults(fleet.platformUrl, { down: false });
        const before = await countsOf(fleet);
        const restMs = partOf(length, 1 - UP_AT);
        await wait(restMs);
        const after = await countsOf(fleet);
        const perSecond = MS_PER_SECOND / restMs;
        return {
          readsPerSecondAfter: (after.reads - before.reads) * perSecond,
          writesPerSecondAfter: (after.writes - before.writes) * perSecond,
        };
      },
    );
    const engineCalls = during.filter(call => !isKeyed(call));
    const whole = engineCalls.filter(
      ({ answer }) => answer.outcome.kind === 'whole',
    );
    return {
      ...result,
      figures: {
        ...result.figures,
        engineCallsDuring: engineCalls.length,
        engineCallsWholeDuring: whole.length,
        keyedRefusedNotRun: during.filter(
          ({ answer }) => answer.code === CLAIM_UNAVAILABLE,
        ).length,
      },
    };
  },
};
