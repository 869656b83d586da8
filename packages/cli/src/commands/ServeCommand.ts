import { Command, Option } from 'clipanion';
import { readSettings } from '@jujubecroft/settings';

import { EXIT } from '../exitCodes.js';
import { waitForStopSignal } from '../waitForStopSignal.js';

/** Runs one instance of the router. */
export class ServeCommand extends Command {
  static override paths = [['serve']];
  static override usage = Command.Usage({
    description: 'run one instance of the router',
    details:
      'On SIGTERM or SIGINT the instance rejects new requests, finishes every request in flight and exits.',
    examples: [['Run an instance', '$0 serve instance.jsonc']],
  });

  readonly file = Option.String({ name: 'config', required: true });

  async execute(): Promise<number> {
    // Imported on demand, so that other commands do not hold it in memory.
    const { createEventLog } = await import('@jujubecroft/events');
    const { startInstance } = await import('@jujubecroft/instance');
    const settings = readSettings(this.file, 'instance');
    const log = createEventLog(settings.instance, settings.logLevel);
    const running = await startInstance(settings, log);
    await waitForStopSignal();
    await running.stop();
    return EXIT.ok;
  }
}
