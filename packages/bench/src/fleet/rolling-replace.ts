import type { LocalFleet } from '../demo/LocalFleet.js';
import type { FleetExperiment } from './FleetExperiment.js';
import { LoadedFleet, partOf, wait } from './LoadedFleet.js';

const SIZE = { instances: 4, engines: 4, services: 2 };
const SECONDS = 20;
const SETTLE_SHARE = 0.05;

/** Starts a new instance for each old one, then stops the old one. */
async function replaceAll(fleet: LocalFleet, settleMs: number): Promise<void> {
  for (let index = 0; index < SIZE.instances; index += 1) {
    await fleet.addInstance(SIZE.instances + index);
    await wait(settleMs);
    const [oldest] = fleet.instances;
    await oldest?.stop();
    fleet.instances.shift();
    await fleet.publishInstances();
  }
}

/** Every instance is replaced while callers go on. */
export const rollingReplace: FleetExperiment = {
  meta: {
    name: 'rolling-replace',
    description:
      'Each of four instances is replaced under load; cutOff counts answers that broke.',
  },
  run: async ({ seed, seconds }) => {
    const length = seconds ?? SECONDS;
    const loaded = new LoadedFleet(SIZE);
    const result = await loaded.run(
      'rolling-replace',
      seed,
      length,
      async fleet => {
        await replaceAll(fleet, partOf(length, SETTLE_SHARE));
        return { replaced: SIZE.instances };
      },
    );
    const cutOff = loaded.faulty.length;
    return { ...result, figures: { ...result.figures, cutOff } };
  },
};
