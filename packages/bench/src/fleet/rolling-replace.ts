import type { LocalFleet } from '../demo/LocalFleet.js';
import type { FleetExperiment } from './FleetExperiment.js';
import { LoadedFleet, shareOfRunMs, wait } from './LoadedFleet.js';

const FLEET_SIZE = { instances: 4, engines: 4, services: 2 };
const DEFAULT_SECONDS = 20;
const SETTLE_SHARE = 0.05;

/**
 * Replaces the instances one by one: starts a new one, waits, then stops the
 * oldest.
 *
 * @param fleet - fleet to change
 * @param settleMs - time between the start of the new and the stop of the old
 *   instance
 */
async function replaceAll(fleet: LocalFleet, settleMs: number): Promise<void> {
  for (let index = 0; index < FLEET_SIZE.instances; index += 1) {
    await fleet.addInstance(FLEET_SIZE.instances + index);
    await wait(settleMs);
    const [oldest] = fleet.instances;
    await oldest?.stop();
    fleet.instances.shift();
    await fleet.publishInstanceList();
  }
}

/** All instances are replaced one by one while the load continues. */
export const rollingReplace: FleetExperiment = {
  meta: {
    name: 'rolling-replace',
    description:
      'Each of four instances is replaced under load; cutOff counts answers that broke.',
  },
  run: async ({ seed, seconds }) => {
    const length = seconds ?? DEFAULT_SECONDS;
    const loaded = new LoadedFleet(FLEET_SIZE);
    const result = await loaded.run(
      'rolling-replace',
      seed,
      length,
      async fleet => {
        await replaceAll(fleet, shareOfRunMs(length, SETTLE_SHARE));
        return { replaced: FLEET_SIZE.instances };
      },
    );
    const cutOff = loaded.faultyCalls.length;
    return { ...result, figures: { ...result.figures, cutOff } };
  },
};
