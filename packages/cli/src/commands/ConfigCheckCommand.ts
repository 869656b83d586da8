import { readFileSync } from 'node:fs';
import { Command, Option } from 'clipanion';
import { formatFaults, parseSettings } from '@jujubecroft/settings';

import { EXIT } from '../exitCodes.js';

/** Checks a settings file and lists every fault. */
export class ConfigCheckCommand extends Command {
  static override paths = [['config', 'check']];
  static override usage = Command.Usage({
    description: 'check a settings file',
    details:
      'Lists each fault with line, path and what is expected. Exit code 3 when there is one.',
    examples: [['Check a file', '$0 config check instance.jsonc']],
  });

  readonly file = Option.String({ name: 'file', required: true });

  execute(): Promise<number> {
    const result = parseSettings(readFileSync(this.file, 'utf8'));
    if (result.ok) {
      this.context.stdout.write(`${this.file}: ${result.settings.kind}, ok\n`);
      return Promise.resolve(EXIT.ok);
    }
    const text = formatFaults(this.file, result.faults);
    this.context.stderr.write(`${text}\n`);
    return Promise.resolve(EXIT.badSettings);
  }
}
