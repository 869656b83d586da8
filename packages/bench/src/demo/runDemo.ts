import { z } from 'zod';

import type { FinishedCall } from '../load/LoadRunner.js';
import { LoadRunner } from '../load/LoadRunner.js';
import type { ClassResult } from '../report/ClassResult.js';
import { tallyCalls } from '../report/tallyCalls.js';
import { demoDeployment, demoLoad } from './demoDeployment.js';
import { findBrokenPromises } from './findBrokenPromises.js';
import { LocalFleet } from './LocalFleet.js';

/** Size and length of a demo. */
export interface DemoOptions {
  readonly seconds: number;
  readonly seed: number;
  /** Told what happens, for a person to read. */
  readonly say: (line: string) => void;
}

/** What a demo brought. */
export interface DemoResult {
  readonly classes: readonly ClassResult[];
  readonly brokenPromises: readonly string[];
  /** Share of generated tokens that never became part of a whole answer. */
  readonly wastedWork: number;
}

/** Small engines, so that the burst asks for more than they can do. */
const SIZE = {
  instances: 3,
  engines: 4,
  services: 2,
  engineModel: { maxBatch: 48, stepBaseMs: 15, stepPerSequenceMs: 2.5 },
};
const CRASH_AT = 0.6;
const BACK_AT = 0.8;
const MS_PER_SECOND = 1000;

const runsSchema = z.record(z.string(), z.number());
const countsSchema = z.object({ generatedTokens: z.number() });

/** Crashes one engine for a while in the middle of the load. */
function scheduleCrash(
  fleet: LocalFleet,
  options: DemoOptions,
): readonly NodeJS.Timeout[] {
  const [victim] = fleet.engines;
  const at = (share: number, crashed: boolean): NodeJS.Timeout =>
    setTimeout(
      () => {
        options.say(crashed ? 'engine-1 crashes' : 'engine-1 is back');
        if (victim) {
          void fleet.setFaults(victim.url, { crashed });
        }
      },
      share * options.seconds * MS_PER_SECOND,
    );
  return [at(CRASH_AT, true), at(BACK_AT, false)];
}

async function countRuns(fleet: LocalFleet): Promise<Map<string, number>> {
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

async function countGenerated(fleet: LocalFleet): Promise<number> {
  const counts = await Promise.all(
    fleet.engines.map(async ({ url }) =>
      countsSchema.parse(await fleet.read(url, '/control/counts')),
    ),
  );
  return counts.reduce((sum, { generatedTokens }) => sum + generatedTokens, 0);
}

function wholeTokens(calls: readonly FinishedCall[]): number {
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
 * @param options - length, seed and where to tell about it
 * @returns results by class and every broken promise
 */
export async function runDemo(options: DemoOptions): Promise<DemoResult> {
  const fleet = new LocalFleet();
  try {
    return await runOn(fleet, options);
  } finally {
    await fleet.stop();
  }
}

async function runOn(
  fleet: LocalFleet,
  options: DemoOptions,
): Promise<DemoResult> {
  options.say(
    `starting ${SIZE.instances} instances, ${SIZE.engines} engines, ${SIZE.services} plain services and a platform`,
  );
  await fleet.start(SIZE);
  const deployment = demoDeployment(fleet.servers);
  await fleet.apply(deployment);
  options.say('configuration in force everywhere; load begins');
  const calls: FinishedCall[] = [];
  const load = demoLoad(fleet.callerUrls, options.seconds, options.seed);
  const timers = scheduleCrash(fleet, options);
  await new LoadRunner(load, call => {
    calls.push(call);
  }).run();
  timers.forEach(timer => {
    clearTimeout(timer);
  });
  const runs = await countRuns(fleet);
  const generated = await countGenerated(fleet);
  const tierOf = (name: string): number =>
    deployment.requestClasses.find(({ id }) => id === name)?.tier ?? 0;
  return {
    classes: tallyCalls(calls, deployment.requestClasses, options.seconds),
    brokenPromises: findBrokenPromises(calls, runs, tierOf),
    wastedWork: generated === 0 ? 0 : 1 - wholeTokens(calls) / generated,
  };
}
