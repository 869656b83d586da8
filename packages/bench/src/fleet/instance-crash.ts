import type { LocalFleet } from '../demo/LocalFleet.js';
import type { FleetExperiment } from './FleetExperiment.js';
import { LoadedFleet, partOf, wait } from './LoadedFleet.js';

const SIZE = { instances: 4, engines: 4, services: 2 };
const SECONDS = 16;
const CRASH_AT = 0.3;
const POLL_MS = 50;
const GIVE_UP_MS = 15_000;

/** Time until no instance names the crashed one in its addresses. */
async function timeUntilGone(
  fleet: LocalFleet,
  crashed: string,
): Promise<number> {
  const startMs = performance.now();
  const isNamed = (): boolean =>
    fleet.instances.some(({ context }) =>
      context.membership.members.some(
        ({ id, state }) => id === crashed && state === 'live',
      ),
    );
  while (isNamed() && performance.now() - startMs < GIVE_UP_MS) {
    await wait(POLL_MS);
  }
  return performance.now() - startMs;
}

/** One instance crashes with its streams; callers and the others carry on. */
export const instanceCrash: FleetExperiment = {
  meta: {
    name: 'instance-crash',
    description:
      'One of four instances drops everything; cutOff counts the answers it broke, goneMs the time until no other names it.',
  },
  run: async ({ seed, seconds }) => {
    const length = seconds ?? SECONDS;
    const loaded = new LoadedFleet(SIZE);
    const result = await loaded.run(
      'instance-crash',
      seed,
      length,
      async fleet => {
        await wait(partOf(length, CRASH_AT));
        const crashed = fleet.instances.shift();
        const inFlight = crashed?.context.host.inFlight ?? 0;
        await crashed?.kill();
        const goneMs = await timeUntilGone(
          fleet,
          crashed?.context.settings.instance ?? '',
        );
        return { inFlight, goneMs };
      },
    );
    const cutOff = loaded.faulty.length;
    // Streams of a crashed instance are lost with it; the caller sees its
    // connection break, so these are counted here and not as broken promises.
    const brokenPromises = result.brokenPromises.filter(
      line => !loaded.faulty.some(call => line.includes(call.idempotencyKey)),
    );
    return {
      ...result,
      brokenPromises,
      figures: { ...result.figures, cutOff },
    };
  },
};
