import type { CommandClass } from 'clipanion';
import { Command } from 'clipanion';

import { EXIT } from '../exitCodes.js';

/**
 * Creates a help command for a group of commands, such as `ctl`.
 *
 * Clipanion provides help for complete commands only and would reject
 * `ctl --help` as an unknown command.
 *
 * @param group - first word of the commands
 * @returns a command that lists the commands of the group
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
