import { Command, Option } from 'clipanion';
import { readSettings } from '@jujubecroft/settings';
import type { RunningServer } from '@jujubecroft/stand-ins';

import { EXIT } from '../exitCodes.js';
import { untilStopped } from '../untilStopped.js';

const STARTERS: Readonly<
  Record<string, (file: string) => Promise<RunningServer>>
> = {
  engine: async file => {
    const { startEngine } = await import('@jujubecroft/stand-ins');
    return startEngine(readSettings(file, 'engine'));
  },
  platform: async file => {
    const { startPlatform } = await import('@jujubecroft/stand-ins');
    return startPlatform(readSettings(file, 'platform'));
  },
  service: async file => {
    const { startService } = await import('@jujubecroft/stand-ins');
    return startService(readSettings(file, 'service'));
  },
};

/** Runs a stand-in for a system that jujubecroft meets. */
export class StandInCommand extends Command {
  static override paths = [['stand-in']];
  static override usage = Command.Usage({
    description: 'run a stand-in: engine, service or platform',
    details: 'For trying things out; see docs/STAND-INS.md for fault switches.',
    examples: [['Run an engine', '$0 stand-in engine engine.jsonc']],
  });

  readonly what = Option.String({ name: 'engine|service|platform' });
  readonly file = Option.String({ name: 'config' });

  async execute(): Promise<number> {
    const start = STARTERS[this.what];
    if (!start) {
      this.context.stderr.write(`no stand-in "${this.what}"\n`);
      return EXIT.usage;
    }
    const server = await start(this.file);
    this.context.stdout.write(`${this.what} on ${server.url}\n`);
    await untilStopped();
    await server.stop();
    return EXIT.ok;
  }
}
