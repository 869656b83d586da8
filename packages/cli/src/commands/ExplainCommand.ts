import { text } from 'node:stream/consumers';
import { Command, Option } from 'clipanion';
import { explainRequest, readLogLines } from '@jujubecroft/events';

import { EXIT } from '../exitCodes.js';

/** Tells the story of one request from logs. */
export class ExplainCommand extends Command {
  static override paths = [['explain']];
  static override usage = Command.Usage({
    description: 'tell the story of one request from logs',
    details:
      'Reads log lines of any number of instances from standard input and prints each decision on the request with the numbers it was made from, and why it ended as it did. Exit code 1 when no line names the request.',
    examples: [['From collected logs', 'cat logs/* | $0 explain 9c41d07b']],
  });

  readonly request = Option.String({ name: 'request-id', required: true });

  async execute(): Promise<number> {
    const lines = readLogLines(await text(this.context.stdin));
    const { steps, cause } = explainRequest(lines, this.request);
    this.context.stdout.write([...steps, `Cause: ${cause}.`, ''].join('\n'));
    return steps.length > 0 ? EXIT.ok : EXIT.failed;
  }
}
