import { writeFile } from 'node:fs/promises';
import { text } from 'node:stream/consumers';
import { Command, Option } from 'clipanion';
import * as t from 'typanion';
import { readLogLines, summariseLines } from '@jujubecroft/events';

import { EXIT } from '../exitCodes.js';
import { summaryTables } from '../report/summaryTables.js';
import { plotWindows } from '../report/plotWindows.js';

/**
 * Long enough to hold a few dozen requests of a route, short enough to show a
 * burst.
 */
const DEFAULT_WINDOW_S = '4';

/** Summarises logs by route and time window. */
export class ReportCommand extends Command {
  static override paths = [['report']];
  static override usage = Command.Usage({
    description: 'summarise logs by route and time window',
    details:
      'Reads log lines of any number of instances from standard input. Prints for each route and time window how requests ended, how many missed their targets and in which way, and how far predictions were off, then what the instances ended themselves, by reason, beside changes of the configuration and otherwise. Exits with 1 if no line belongs to a request.',
    examples: [
      ['With a plot', 'cat logs/* | $0 report --window-s 4 --plot day.svg'],
    ],
  });

  readonly windowS = Option.String('--window-s', DEFAULT_WINDOW_S, {
    description: 'length of a time window, in seconds',
    validator: t.cascade(t.isNumber(), [t.isPositive()]),
  });

  readonly plot = Option.String('--plot', {
    description: 'file for a plot of the time windows, in SVG',
  });

  async execute(): Promise<number> {
    const lines = readLogLines(await text(this.context.stdin));
    const summary = summariseLines(lines, this.windowS);
    this.context.stdout.write(summaryTables(summary));
    if (this.plot !== undefined) {
      await writeFile(this.plot, await plotWindows(summary.windows));
    }
    return summary.windows.length > 0 ? EXIT.ok : EXIT.failed;
  }
}
