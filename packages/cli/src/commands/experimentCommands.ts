import { writeFileSync } from 'node:fs';
import { Command, Option } from 'clipanion';
import { cascade, isInteger, isNumber, isPositive } from 'typanion';

import type { FleetExperiment } from '@jujubecroft/bench';

import { EXIT } from '../exitCodes.js';

/**
 * Name of the experiment that measures costs on this machine instead of
 * comparing policies.
 */
const SLOPES_EXPERIMENT = 'slopes';

/** Lists the experiments. */
export class ExperimentListCommand extends Command {
  static override paths = [['experiment', 'list']];
  static override usage = Command.Usage({ description: 'list experiments' });

  async execute(): Promise<number> {
    const { EXPERIMENTS, FLEET_EXPERIMENTS } =
      await import('@jujubecroft/bench');
    this.context.stdout.write(
      `${SLOPES_EXPERIMENT}\tslopes for docs/CAPACITY.md\n`,
    );
    [...EXPERIMENTS, ...FLEET_EXPERIMENTS].forEach(({ meta }) => {
      this.context.stdout.write(`${meta.name}\t${meta.description}\n`);
    });
    return EXIT.ok;
  }
}

/** Runs one experiment. */
export class ExperimentRunCommand extends Command {
  static override paths = [['experiment', 'run']];
  static override usage = Command.Usage({
    description: 'run an experiment; each of its arms gets the same calls',
    examples: [
      ['Print a table', '$0 experiment run overload-2x'],
      [
        'Write the figures to a file',
        '$0 experiment run overload-2x --out result.json',
      ],
    ],
  });

  readonly name = Option.String({ name: 'name' });
  readonly seed = Option.String('--seed', '1', {
    validator: cascade(isNumber(), isInteger()),
  });
  readonly seconds = Option.String('--seconds', {
    description: 'duration of the load, in seconds',
    validator: cascade(isNumber(), isPositive()),
  });
  readonly out = Option.String('--out', {
    description: 'file for the result, in JSON',
  });

  readonly part = Option.String('--part', {
    description:
      'part of slopes to run: decisions, state, heartbeats, idle or data-path',
  });

  async execute(): Promise<number> {
    if (this.name === SLOPES_EXPERIMENT) {
      return this.#runSlopes();
    }
    const { FLEET_EXPERIMENTS } = await import('@jujubecroft/bench');
    const fleet = FLEET_EXPERIMENTS.find(({ meta }) => meta.name === this.name);
    return fleet
      ? this.#runFleetExperiment(fleet)
      : this.#runSimulatedExperiment();
  }

  async #runFleetExperiment(experiment: FleetExperiment): Promise<number> {
    const { classTable } = await import('@jujubecroft/bench');
    const result = await experiment.run({
      seed: this.seed,
      seconds: this.seconds ?? null,
    });
    Object.entries(result.figures).forEach(([name, value]) => {
      this.context.stdout.write(`${name}: ${Number(value.toFixed(1))}\n`);
    });
    if (result.classes.length > 0) {
      this.context.stdout.write(`${classTable(result.classes)}\n`);
    }
    this.#writeResult(result);
    return this.#printBrokenPromises(result.brokenPromises);
  }

  #printBrokenPromises(brokenPromises: readonly string[]): number {
    brokenPromises.forEach(line => {
      this.context.stdout.write(`broken promise: ${line}\n`);
    });
    return brokenPromises.length === 0 ? EXIT.ok : EXIT.brokenPromise;
  }

  async #runSlopes(): Promise<number> {
    const { runSlopes, SLOPE_PARTS, slopesTable } =
      await import('@jujubecroft/bench');
    const parts = SLOPE_PARTS.filter(
      part => this.part === undefined || part === this.part,
    );
    const result = await runSlopes(parts, line => {
      this.context.stderr.write(`${line}\n`);
    });
    this.context.stdout.write(`${slopesTable(result)}\n`);
    this.#writeResult(result);
    return EXIT.ok;
  }

  #writeResult(result: object): void {
    if (this.out !== undefined) {
      writeFileSync(this.out, `${JSON.stringify(result, null, 2)}\n`);
    }
  }

  async #runSimulatedExperiment(): Promise<number> {
    const { EXPERIMENTS, experimentTable, runExperiment } =
      await import('@jujubecroft/bench');
    const experiment = EXPERIMENTS.find(({ meta }) => meta.name === this.name);
    if (!experiment) {
      this.context.stderr.write(`unknown experiment "${this.name}"\n`);
      return EXIT.usage;
    }
    const result = runExperiment(experiment, {
      seed: this.seed,
      seconds: this.seconds ?? null,
    });
    this.context.stdout.write(`${experimentTable(result)}\n`);
    this.#writeResult(result);
    return this.#printBrokenPromises(result.arms[0]?.brokenPromises ?? []);
  }
}
