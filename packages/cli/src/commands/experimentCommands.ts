import { writeFileSync } from 'node:fs';
import { Command, Option } from 'clipanion';
import { cascade, isInteger, isNumber, isPositive } from 'typanion';
import {
  EXPERIMENTS,
  experimentTable,
  runExperiment,
} from '@jujubecroft/bench';

import { EXIT } from '../exitCodes.js';

/** Lists the experiments. */
export class ExperimentListCommand extends Command {
  static override paths = [['experiment', 'list']];
  static override usage = Command.Usage({ description: 'list experiments' });

  execute(): Promise<number> {
    EXPERIMENTS.forEach(({ meta }) => {
      this.context.stdout.write(`${meta.name}\t${meta.description}\n`);
    });
    return Promise.resolve(EXIT.ok);
  }
}

/** Runs one experiment with all its arms. */
export class ExperimentRunCommand extends Command {
  static override paths = [['experiment', 'run']];
  static override usage = Command.Usage({
    description: 'run an experiment, every arm on the same calls',
    examples: [
      ['Print a table', '$0 experiment run overload-2x'],
      ['Keep the figures', '$0 experiment run overload-2x --out result.json'],
    ],
  });

  readonly name = Option.String({ name: 'name' });
  readonly seed = Option.String('--seed', '1', {
    validator: cascade(isNumber(), isInteger()),
  });
  readonly seconds = Option.String('--seconds', {
    description: 'length of the load',
    validator: cascade(isNumber(), isPositive()),
  });
  readonly out = Option.String('--out', {
    description: 'file for the result in JSON',
  });

  execute(): Promise<number> {
    const experiment = EXPERIMENTS.find(({ meta }) => meta.name === this.name);
    if (!experiment) {
      this.context.stderr.write(`no experiment "${this.name}"\n`);
      return Promise.resolve(EXIT.usage);
    }
    const result = runExperiment(experiment, {
      seed: this.seed,
      seconds: this.seconds ?? null,
    });
    this.context.stdout.write(`${experimentTable(result)}\n`);
    if (this.out !== undefined) {
      writeFileSync(this.out, `${JSON.stringify(result, null, 2)}\n`);
    }
    const own = result.arms[0]?.brokenPromises ?? [];
    own.forEach(line => {
      this.context.stdout.write(`broken promise: ${line}\n`);
    });
    return Promise.resolve(own.length === 0 ? EXIT.ok : EXIT.brokenPromise);
  }
}
