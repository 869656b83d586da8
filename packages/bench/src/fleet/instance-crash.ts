import type { LocalFleet } from '../demo/LocalFleet.js';
import type { FleetExperiment } from './FleetExperiment.js';
import { LoadedFleet, shareOfRunMs, wait } from './LoadedFleet.js';

const FLEET_SIZE = { instances: 4, engines: 4, services: 2 };
const DEFAULT_SECONDS = 16;
const CRASH_AT_SHARE = 0.3;
const POLL_INTERVAL_MS = 50;
const REMOVAL_TIMEOUT_MS = 15_000;

/**
 * Waits until no instance lists the crashed one as a live member, for at most
 * 15 s.
 *
 * @returns waiting time in milliseconds
 */
async function measureRemovalMs(
  fleet: LocalFleet,
  crashed: string,
): Promise<number> {
  const startMs = performance.now();
  const isListed = (): boolean =>
    fleet.instances.some(({ context }) =>
      context.membership.members.some(
        ({ id, state }) => id === crashed && state === 'live',
      ),
    );
  while (isListed() && performance.now() - startMs < REMOVAL_TIMEOUT_MS) {
    await wait(POLL_INTERVAL_MS);
  }
  return performance.now() - startMs;
}

/** One instance crashes with its open streams while the load continues. */
export const instanceCrash: FleetExperiment = {
  meta: {
    name: 'instance-crash',
    description:
      'One of four instances drops everything; cutOff counts the answers it broke, goneMs the time until no other names it.',
  },
  run: async ({ seed, seconds }) => {
    const length = seconds ?? DEFAULT_SECONDS;
    const loaded = new LoadedFleet(FLEET_SIZE);
    const result = await loaded.run(
      'instance-crash',
      seed,
      length,
      async fleet => {
        await wait(shareOfRunMs(length, CRASH_AT_SHARE));
        const crashed = fleet.instances.shift();
        const inFlight = crashed?.context.host.inFlight ?? 0;
        await crashed?.kill();
        const goneMs = await measureRemovalMs(
          fleet,
          crashed?.context.settings.instance ?? '',
        );
        return { inFlight, goneMs };
      },
    );
    const cutOff = loaded.faultyCalls.length;
    // A crash of an instance cuts its open streams, which callers notice by the
    // closed connection. These calls are counted in cutOff and don't count as
    // violations.
    const brokenPromises = result.brokenPromises.filter(
      line =>
        !loaded.faultyCalls.some(call => line.includes(call.idempotencyKey)),
    );
    return {
      ...result,
      brokenPromises,
      figures: { ...result.figures, cutOff },
    };
  },
};
