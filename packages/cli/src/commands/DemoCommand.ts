import { Command, Option } from 'clipanion';
import { cascade, isInteger, isNumber, isPositive } from 'typanion';

import { EXIT } from '../exitCodes.js';

/** Demonstrates the whole request path in one process. */
export class DemoCommand extends Command {
  static override paths = [['demo']];
  static override usage = Command.Usage({
    description:
      'run a small fleet through a burst of load and an engine crash',
    details:
      'Starts everything in one process on loopback, stops by itself and prints a table of results by request class. Exits with 4 if a promise was broken.',
    examples: [['Run the demo', '$0 demo']],
  });

  readonly seconds = Option.String('--seconds', '12', {
    description: 'duration of the load, in seconds',
    validator: cascade(isNumber(), isPositive()),
  });
  readonly seed = Option.String('--seed', '1', {
    description: 'random seed of the load',
    validator: cascade(isNumber(), isInteger()),
  });

  async execute(): Promise<number> {
    const { classTable, runDemo } = await import('@jujubecroft/bench');
    const result = await runDemo({
      seconds: this.seconds,
      seed: this.seed,
      onProgress: line => {
        this.context.stdout.write(`${line}\n`);
      },
    });
    const wasted = (100 * result.wastedWork).toFixed(2);
    this.context.stdout.write(`${classTable(result.classes)}\n`);
    this.context.stdout.write(`wasted work: ${wasted}% of generated tokens\n`);
    result.brokenPromises.forEach(line => {
      this.context.stdout.write(`broken promise: ${line}\n`);
    });
    return result.brokenPromises.length === 0 ? EXIT.ok : EXIT.brokenPromise;
  }
}
