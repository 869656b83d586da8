import { Command, Option } from 'clipanion';
import { readSettings } from '@jujubecroft/settings';

import { EXIT } from '../exitCodes.js';
import { untilStopped } from '../untilStopped.js';

/** Runs one entry instance. */
export class ServeCommand extends Command {
  static override paths = [['serve']];
  static override usage = Command.Usage({
    description: 'run one entry instance',
    details:
      'Runs until SIGTERM or SIGINT, then takes no new work, finishes every request in flight and ends.',
    examples: [['Run an instance', '$0 serve instance.jsonc']],
  });

  readonly file = Option.String({ name: 'config', required: true });

  async execute(): Promise<number> {
    // Loaded here, so that other commands need no memory for it.
    const { createEventLog } = await import('@jujubecroft/events');
    const { startInstance } = await import('@jujubecroft/instance');
    const settings = readSettings(this.file, 'instance');
    const log = createEventLog(settings.instance, settings.logLevel);
    const running = await startInstance(settings, log);
    await untilStopped();
    await running.stop();
    return EXIT.ok;
  }
}
