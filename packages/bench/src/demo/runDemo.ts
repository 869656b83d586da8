import { z } from 'zod';

import type { FinishedCall } from '../load/LoadRunner.js';
import { LoadRunner } from '../load/LoadRunner.js';
import type { ClassResult } from '../report/ClassResult.js';
import { tallyCalls } from '../report/tallyCalls.js';
import { demoDeployment, demoLoad } from './demoDeployment.js';
import { findGuaranteeViolations } from './findGuaranteeViolations.js';
import { LocalFleet } from './LocalFleet.js';

/** Options of a demo run. */
export interface DemoOptions {
  /** Length of the load. */
  readonly seconds: number;
  readonly seed: number;
  /** Called with progress messages for the user. */
  readonly onProgress: (line: string) => void;
}

/** Result of a demo run. */
export interface DemoResult {
  readonly classes: readonly ClassResult[];
  /** Violated guarantees, one line each. */
  readonly brokenPromises: readonly string[];
  /** Share of generated tokens that are not part of a complete answer. */
  readonly wastedWork: number;
}

/**
 * The batch size and step times are chosen so that the burst exceeds the
 * engines' capacity.
 */
const FLEET_SIZE = {
  instances: 3,
  engines: 4,
  services: 2,
  engineModel: { maxBatch: 48, stepBaseMs: 15, stepPerSequenceMs: 2.5 },
};
const CRASH_AT_SHARE = 0.6;
const RESTORE_AT_SHARE = 0.8;
const MS_PER_SECOND = 1000;

const runsSchema = z.record(z.string(), z.number());
const countsSchema = z.object({ generatedTokens: z.number() });

/**
 * Schedules a crash of engine 1 at 60 % of the run and its restoration at 80 %.
 */
function scheduleCrash(
  fleet: LocalFleet,
  options: DemoOptions,
): readonly NodeJS.Timeout[] {
  const [victim] = fleet.engines;
  const setCrashedAt = (share: number, crashed: boolean): NodeJS.Timeout =>
    setTimeout(
      () => {
        options.onProgress(crashed ? 'engine-1 crashes' : 'engine-1 is back');
        if (victim) {
          void fleet.setFaults(victim.url, { crashed });
        }
      },
      share * options.seconds * MS_PER_SECOND,
    );
  return [
    setCrashedAt(CRASH_AT_SHARE, true),
    setCrashedAt(RESTORE_AT_SHARE, false),
  ];
}

async function countRunsByKey(fleet: LocalFleet): Promise<Map<string, number>> {
  const perService = await Promise.all(
    fleet.services.map(async ({ url }) =>
      runsSchema.parse(await fleet.read(url, '/control/runs')),
    ),
  );
  const total = new Map<string, number>();
  perService
    .flatMap(runs => Object.entries(runs))
    .forEach(([key, count]) => {
      total.set(key, (total.get(key) ?? 0) + count);
    });
  return total;
}

async function countGeneratedTokens(fleet: LocalFleet): Promise<number> {
  const counts = await Promise.all(
    fleet.engines.map(async ({ url }) =>
      countsSchema.parse(await fleet.read(url, '/control/counts')),
    ),
  );
  return counts.reduce((sum, { generatedTokens }) => sum + generatedTokens, 0);
}

function countCompletedTokens(calls: readonly FinishedCall[]): number {
  return calls
    .filter(({ stream }) => 'model' in stream.target)
    .reduce(
      (sum, { answer }) =>
        sum + (answer.outcome.kind === 'whole' ? answer.outcome.tokens : 0),
      0,
    );
}

/**
 * Runs a small fleet in one process through a burst and an engine crash.
 *
 * @param options - length, seed and progress callback
 * @returns results by request class, violated guarantees and wasted work
 */
export async function runDemo(options: DemoOptions): Promise<DemoResult> {
  const fleet = new LocalFleet();
  try {
    return await runOnFleet(fleet, options);
  } finally {
    await fleet.stop();
  }
}

async function runOnFleet(
  fleet: LocalFleet,
  options: DemoOptions,
): Promise<DemoResult> {
  options.onProgress(
    `starting ${FLEET_SIZE.instances} instances, ${FLEET_SIZE.engines} engines, ${FLEET_SIZE.services} plain services and a platform`,
  );
  await fleet.start(FLEET_SIZE);
  const deployment = demoDeployment(fleet.servers);
  await fleet.apply(deployment);
  options.onProgress('configuration in force everywhere; load begins');
  const calls: FinishedCall[] = [];
  const load = demoLoad(fleet.callerUrls, options.seconds, options.seed);
  const timers = scheduleCrash(fleet, options);
  await new LoadRunner(load, call => {
    calls.push(call);
  }).run();
  timers.forEach(timer => {
    clearTimeout(timer);
  });
  const runs = await countRunsByKey(fleet);
  const generated = await countGeneratedTokens(fleet);
  const tierOf = (name: string): number =>
    deployment.requestClasses.find(({ id }) => id === name)?.tier ?? 0;
  return {
    classes: tallyCalls(calls, deployment.requestClasses, options.seconds),
    brokenPromises: findGuaranteeViolations(calls, runs, tierOf),
    wastedWork:
      generated === 0 ? 0 : 1 - countCompletedTokens(calls) / generated,
  };
}
