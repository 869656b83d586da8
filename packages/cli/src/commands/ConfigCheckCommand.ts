import { readFileSync } from 'node:fs';
import { Command, Option } from 'clipanion';
import type { DocumentParseResult } from '@jujubecroft/gateway';
import type { PlatformSettings } from '@jujubecroft/platform';
import { formatFaults, parseSettings } from '@jujubecroft/settings';

import { EXIT } from '../exitCodes.js';

/** Validates a settings file and lists every fault. */
export class ConfigCheckCommand extends Command {
  static override paths = [['config', 'check']];
  static override usage = Command.Usage({
    description: 'check a settings file',
    details:
      'Lists each fault with line, path and what is expected. Accepts settings of every kind, including those that the platform gives to a process. Exits with 3 if there is a fault.',
    examples: [['Check a file', '$0 config check instance.jsonc']],
  });

  readonly file = Option.String({ name: 'file', required: true });

  async execute(): Promise<number> {
    const text = readFileSync(this.file, 'utf8');
    // Imported on demand, so that other commands do not hold it in memory.
    const { isPlatformSettings, readPlatformSettings } =
      await import('@jujubecroft/platform');
    return isPlatformSettings(text)
      ? this.#reportPlatformSettings(readPlatformSettings(text))
      : this.#checkJujubecroftSettings(text);
  }

  #reportPlatformSettings(
    result: DocumentParseResult<PlatformSettings>,
  ): number {
    if (result.ok) {
      this.context.stdout.write(`${this.file}: platform settings, ok\n`);
      return EXIT.ok;
    }
    const lines = result.faults.map(
      ({ path, message }) =>
        `${this.file}: ${path || '(document)'}: ${message}`,
    );
    this.context.stderr.write(`${lines.join('\n')}\n`);
    return EXIT.badSettings;
  }

  #checkJujubecroftSettings(text: string): number {
    const result = parseSettings(text);
    if (result.ok) {
      this.context.stdout.write(`${this.file}: ${result.settings.kind}, ok\n`);
      return EXIT.ok;
    }
    const faults = formatFaults(this.file, result.faults);
    this.context.stderr.write(`${faults}\n`);
    return EXIT.badSettings;
  }
}
