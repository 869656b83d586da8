import { text } from 'node:stream/consumers';
import { Command, Option } from 'clipanion';
import { explainRequest, readLogLines } from '@jujubecroft/events';

import { EXIT } from '../exitCodes.js';

/** Explains from logs what happened to one request. */
export class ExplainCommand extends Command {
  static override paths = [['explain']];
  static override usage = Command.Usage({
    description: 'explain from logs what happened to one request',
    details:
      'Reads log lines of any number of instances from standard input. Prints each decision about the request with the figures it was based on, and the cause of the outcome. Exits with 1 if no line names the request.',
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
