import { randomUUID } from 'node:crypto';
import { max, median } from 'simple-statistics';
import { createRandom } from '@jujubecroft/types';

import { demoDeployment } from '../demo/demoDeployment.js';
import { LocalFleet } from '../demo/LocalFleet.js';
import type { FleetExperiment } from './FleetExperiment.js';

const FLEET_SIZE = { instances: 8, engines: 2, services: 1 };
const CHANGE_COUNT = 40;

/**
 * Commits changes at random instances, one after the other.
 *
 * @returns milliseconds from the acceptance of each change until it was in
 *   force on every instance
 */
async function measureSpreadTimes(
  fleet: LocalFleet,
  seed: number,
): Promise<readonly number[]> {
  const random = createRandom(seed);
  const timesMs: number[] = [];
  for (let index = 0; index < CHANGE_COUNT; index += 1) {
    const connection = fleet.operator(
      Math.floor(random() * FLEET_SIZE.instances),
    );
    const { revision } = await connection.drain({
      changeId: randomUUID(),
      backendServer: 'engine-1',
      leaving: index % 2 === 0,
    });
    const acceptedMs = performance.now();
    await fleet.waitUntilInForce(revision);
    timesMs.push(performance.now() - acceptedMs);
    connection.close();
  }
  return timesMs;
}

/**
 * Measures how long an accepted change takes to be in force on every instance.
 */
export const configSpread: FleetExperiment = {
  meta: {
    name: 'config-spread',
    description:
      'Forty changes at random instances of eight; time from acceptance until in force everywhere.',
  },
  run: async ({ seed }) => {
    const fleet = new LocalFleet();
    try {
      await fleet.start(FLEET_SIZE);
      await fleet.apply(demoDeployment(fleet.servers));
      const timesMs = await measureSpreadTimes(fleet, seed);
      return {
        experiment: 'config-spread',
        seed,
        figures: {
          changes: timesMs.length,
          medianInForceMs: median([...timesMs]),
          maxInForceMs: max([...timesMs]),
        },
        classes: [],
        brokenPromises: [],
      };
    } finally {
      await fleet.stop();
    }
  },
};
