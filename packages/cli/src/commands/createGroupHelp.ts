import type { CommandClass } from 'clipanion';
import { Command } from 'clipanion';

import { EXIT } from '../exitCodes.js';

/**
 * Creates the help of a group of commands, such as `ctl`.
 *
 * Without it `ctl --help` is taken for an unknown command, as only whole commands
 * have a help of their own.
 *
 * @param group - first word of the commands
 * @returns a command that lists them
 */
export function createGroupHelp(group: string): CommandClass {
  return class GroupHelpCommand extends Command {
    static override paths = [[group], [group, '--help'], [group, '-h']];

    execute(): Promise<number> {
      const prefix = `${this.cli.binaryName} ${group} `;
      const lines = this.cli
        .definitions()
        .filter(({ path }) => path.startsWith(prefix))
        .map(({ path, description }) => `  ${path}\n    ${description ?? ''}`);
      this.context.stdout.write(
        [`Commands of ${group}:`, '', ...lines, ''].join('\n'),
      );
      return Promise.resolve(EXIT.ok);
    }
  };
}
