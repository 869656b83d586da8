import { writeFile } from 'node:fs/promises';
import { text } from 'node:stream/consumers';
import { Command, Option } from 'clipanion';
import * as t from 'typanion';
import { readLogLines, summariseLines } from '@jujubecroft/events';

import { EXIT } from '../exitCodes.js';
import { dayTables } from '../report/dayTables.js';
import { plotDay } from '../report/plotDay.js';

/** Long enough for some dozen requests of a route, short enough to see a burst. */
const DEFAULT_WINDOW_S = '4';

/** Sums up logs by route and window of time. */
export class ReportCommand extends Command {
  static override paths = [['report']];
  static override usage = Command.Usage({
    description: 'sum up logs by route and window of time',
    details:
      'Reads log lines of any number of instances from standard input and prints, for each route and window, how requests ended, how late they were and for which reason, and how far predictions were off. Exit code 1 when no line tells of a request.',
    examples: [
      ['With a plot', 'cat logs/* | $0 report --window-s 4 --plot day.svg'],
    ],
  });

  readonly windowS = Option.String('--window-s', DEFAULT_WINDOW_S, {
    description: 'length of a window, in seconds',
    validator: t.cascade(t.isNumber(), [t.isPositive()]),
  });

  readonly plot = Option.String('--plot', {
    description: 'file for a plot of the same, as SVG',
  });

  async execute(): Promise<number> {
    const lines = readLogLines(await text(this.context.stdin));
    const day = summariseLines(lines, this.windowS);
    this.context.stdout.write(dayTables(day));
    if (this.plot !== undefined) {
      await writeFile(this.plot, await plotDay(day.windows));
    }
    return day.windows.length > 0 ? EXIT.ok : EXIT.failed;
  }
}
