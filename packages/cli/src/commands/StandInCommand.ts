import { Command, Option } from 'clipanion';
import { readSettings } from '@jujubecroft/settings';
import type { RunningServer } from '@jujubecroft/stand-ins';

import { EXIT } from '../exitCodes.js';
import { waitForStopSignal } from '../waitForStopSignal.js';

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

/** Runs a stand-in for an external system that jujubecroft talks to. */
export class StandInCommand extends Command {
  static override paths = [['stand-in']];
  static override usage = Command.Usage({
    description: 'run a stand-in: engine, service or platform',
    details:
      'For trials without the real systems; docs/STAND-INS.md describes the fault switches.',
    examples: [['Run an engine', '$0 stand-in engine engine.jsonc']],
  });

  readonly system = Option.String({ name: 'engine|service|platform' });
  readonly file = Option.String({ name: 'config' });

  async execute(): Promise<number> {
    const start = STARTERS[this.system];
    if (!start) {
      this.context.stderr.write(`unknown stand-in "${this.system}"\n`);
      return EXIT.usage;
    }
    const server = await start(this.file);
    this.context.stdout.write(`${this.system} on ${server.url}\n`);
    await waitForStopSignal();
    await server.stop();
    return EXIT.ok;
  }
}
