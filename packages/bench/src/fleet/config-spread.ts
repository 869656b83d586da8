import { randomUUID } from 'node:crypto';
import { max, median } from 'simple-statistics';
import { createRandom } from '@jujubecroft/types';

import { demoDeployment } from '../demo/demoDeployment.js';
import { LocalFleet } from '../demo/LocalFleet.js';
import type { FleetExperiment } from './FleetExperiment.js';

const SIZE = { instances: 8, engines: 2, services: 1 };
const CHANGES = 40;

/** Commits changes at random instances and times them into force everywhere. */
async function spreadTimes(
  fleet: LocalFleet,
  seed: number,
): Promise<readonly number[]> {
  const random = createRandom(seed);
  const times: number[] = [];
  for (let index = 0; index < CHANGES; index += 1) {
    const connection = fleet.operator(Math.floor(random() * SIZE.instances));
    const { revision } = await connection.drain({
      changeId: randomUUID(),
      backendServer: 'engine-1',
      leaving: index % 2 === 0,
    });
    const acceptedMs = performance.now();
    await fleet.whenInForce(revision);
    times.push(performance.now() - acceptedMs);
    connection.close();
  }
  return times;
}

/** How long an accepted change takes to be in force on every instance. */
export const configSpread: FleetExperiment = {
  meta: {
    name: 'config-spread',
    description:
      'Forty changes at random instances of eight; time from acceptance until in force everywhere.',
  },
  run: async ({ seed }) => {
    const fleet = new LocalFleet();
    try {
      await fleet.start(SIZE);
      await fleet.apply(demoDeployment(fleet.servers));
      const times = await spreadTimes(fleet, seed);
      return {
        experiment: 'config-spread',
        seed,
        figures: {
          changes: times.length,
          medianInForceMs: median([...times]),
          maxInForceMs: max([...times]),
        },
        classes: [],
        brokenPromises: [],
      };
    } finally {
      await fleet.stop();
    }
  },
};
