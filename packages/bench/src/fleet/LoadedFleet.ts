import { z } from 'zod';

import { demoDeployment, demoLoad } from '../demo/demoDeployment.js';
import { findBrokenPromises } from '../demo/findBrokenPromises.js';
import type { FleetSize } from '../demo/LocalFleet.js';
import { LocalFleet } from '../demo/LocalFleet.js';
import type { FinishedCall } from '../load/LoadRunner.js';
import { LoadRunner } from '../load/LoadRunner.js';
import { tallyCalls } from '../report/tallyCalls.js';
import type { FleetResult } from './FleetExperiment.js';

const runsSchema = z.record(z.string(), z.number());
const MS_PER_SECOND = 1000;

/** Pauses for a time. */
export const wait = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms));

/** A local fleet under the demo's load while something happens to it. */
export class LoadedFleet {
  readonly fleet = new LocalFleet();
  readonly calls: FinishedCall[] = [];

  constructor(private readonly size: FleetSize) {}

  /**
   * Runs the load and the disturbance side by side.
   *
   * @param name - of the experiment
   * @param seed - of the load
   * @param seconds - length of the load
   * @param disturb - what happens meanwhile; its figures go into the result
   * @returns what callers saw and every broken promise
   */
  async run(
    name: string,
    seed: number,
    seconds: number,
    disturb: (fleet: LocalFleet) => Promise<Readonly<Record<string, number>>>,
  ): Promise<FleetResult> {
    try {
      await this.fleet.start(this.size);
      const deployment = demoDeployment(this.fleet.servers);
      await this.fleet.apply(deployment);
      const load = demoLoad(this.fleet.callerUrls, seconds, seed);
      const runner = new LoadRunner(load, call => {
        this.calls.push(call);
      });
      const [figures] = await Promise.all([disturb(this.fleet), runner.run()]);
      const tierOf = (id: string): number =>
        deployment.requestClasses.find(rules => rules.id === id)?.tier ?? 0;
      return {
        experiment: name,
        seed,
        figures,
        classes: tallyCalls(this.calls, deployment.requestClasses, seconds),
        brokenPromises: findBrokenPromises(
          this.calls,
          await this.#countRuns(),
          tierOf,
        ),
      };
    } finally {
      await this.fleet.stop();
    }
  }

  /** Calls whose answer was neither whole nor an honest refusal. */
  get faulty(): readonly FinishedCall[] {
    return this.calls.filter(({ answer }) => answer.fault !== null);
  }

  async #countRuns(): Promise<ReadonlyMap<string, number>> {
    const total = new Map<string, number>();
    for (const { url } of this.fleet.services) {
      const runs = runsSchema.parse(
        await this.fleet.read(url, '/control/runs'),
      );
      Object.entries(runs).forEach(([key, count]) => {
        total.set(key, (total.get(key) ?? 0) + count);
      });
    }
    return total;
  }
}

/** Part of a run, in milliseconds. */
export const partOf = (seconds: number, share: number): number =>
  seconds * share * MS_PER_SECOND;
