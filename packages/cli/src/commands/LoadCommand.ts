import { SingleBar } from 'cli-progress';
import { Command, Option } from 'clipanion';
import type { FinishedCall } from '@jujubecroft/bench';
import { readSettings } from '@jujubecroft/settings';

import { EXIT } from '../exitCodes.js';

const PROGRESS_INTERVAL_MS = 500;
const MS_PER_SECOND = 1000;

/** Sends open-loop load to running instances and reports the results. */
export class LoadCommand extends Command {
  static override paths = [['load']];
  static override usage = Command.Usage({
    description: 'send open-loop load to running instances',
    details:
      'Requests arrive as Poisson processes with optional bursts; see examples/.',
    examples: [['Run a load', '$0 load load.jsonc']],
  });

  readonly file = Option.String({ name: 'config' });
  readonly json = Option.Boolean('--json', false, {
    description: 'print the figures as JSON',
  });

  async execute(): Promise<number> {
    const { callFigures, LoadRunner, summarizeCalls } =
      await import('@jujubecroft/bench');
    const settings = readSettings(this.file, 'load');
    const calls: FinishedCall[] = [];
    const bar = new SingleBar({
      format: '{bar} {value}/{total} s, {calls} calls ended',
      stream: process.stderr,
    });
    const startMs = Date.now();
    bar.start(settings.seconds, 0, { calls: 0 });
    const timer = setInterval(() => {
      const seconds = Math.floor((Date.now() - startMs) / MS_PER_SECOND);
      bar.update(Math.min(seconds, settings.seconds), { calls: calls.length });
    }, PROGRESS_INTERVAL_MS);
    await new LoadRunner(settings, call => {
      calls.push(call);
    }).run();
    clearInterval(timer);
    bar.stop();
    const text = this.json
      ? JSON.stringify(callFigures(calls))
      : summarizeCalls(calls);
    this.context.stdout.write(`${text}\n`);
    const faulty = calls.some(({ answer }) => answer.fault !== null);
    return faulty ? EXIT.brokenPromise : EXIT.ok;
  }
}
