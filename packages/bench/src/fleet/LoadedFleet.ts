import { z } from 'zod';

import { demoDeployment, demoLoad } from '../demo/demoDeployment.js';
import { findGuaranteeViolations } from '../demo/findGuaranteeViolations.js';
import type { FleetSize } from '../demo/LocalFleet.js';
import { LocalFleet } from '../demo/LocalFleet.js';
import type { FinishedCall } from '../load/LoadRunner.js';
import { LoadRunner } from '../load/LoadRunner.js';
import { tallyCalls } from '../report/tallyCalls.js';
import type { FleetResult } from './FleetExperiment.js';

const runsSchema = z.record(z.string(), z.number());
const MS_PER_SECOND = 1000;

export const wait = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms));

/**
 * A local fleet under the load of the demo, for experiments that disturb it.
 */
export class LoadedFleet {
  readonly fleet = new LocalFleet();
  /** Finished calls, in the order in which they ended. */
  readonly calls: FinishedCall[] = [];

  constructor(private readonly size: FleetSize) {}

  /**
   * Starts the fleet, runs the load and the disturbance concurrently, and stops
   * the fleet.
   *
   * @param name - name of the experiment
   * @param seed - seed of the load
   * @param seconds - length of the load
   * @param disturb - disturbs the fleet; the figures it returns go into the
   *   result
   * @returns results by request class, figures and violated guarantees
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
        brokenPromises: findGuaranteeViolations(
          this.calls,
          await this.#countRuns(),
          tierOf,
        ),
      };
    } finally {
      await this.fleet.stop();
    }
  }

  /**
   * Calls whose answer was faulty, that is, neither complete nor correctly
   * refused.
   */
  get faultyCalls(): readonly FinishedCall[] {
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

/**
 * Duration of a share of a run.
 *
 * @param seconds - length of the run
 * @param share - share of the run, from 0 to 1
 * @returns duration in milliseconds
 */
export const shareOfRunMs = (seconds: number, share: number): number =>
  seconds * share * MS_PER_SECOND;
