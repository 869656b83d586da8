import { readFileSync } from 'node:fs';
import path from 'node:path';
import type { LogEvent } from '@jujubecroft/events';
import { LOG_EVENTS } from '@jujubecroft/events';
import { describe } from '@jujubecroft/testing';
import type { ResultCode } from '@jujubecroft/types';
import { RESULT_CODES } from '@jujubecroft/types';

const DOCS_PATH = path.resolve(import.meta.dirname, '../../../docs');
const readPage = (name: string): string =>
  readFileSync(path.join(DOCS_PATH, name), 'utf8').replaceAll(/ +/g, ' ');

/** Numbers in the first column of the page's tables. */
const numbersIn = (text: string): readonly number[] =>
  [...text.matchAll(/^\| (\d+) \|/gm)].map(match => Number(match[1]));

describe('documented catalogues', ({ it }) => {
  it('docs/ERRORS.md lists exactly the result codes, with the same values', t => {
    const text = readPage('ERRORS.md');
    const codes: [string, ResultCode][] = Object.entries(RESULT_CODES);
    codes.forEach(([id, row]) => {
      const { number, httpStatus, ran, summary, action } = row;
      const line = `| ${number} | \`${id}\` | ${httpStatus} | ${ran} | ${summary} | ${action} |`;
      t.true(text.includes(line), id);
    });
    const numbers = codes.map(([, { number }]) => number);
    t.is(new Set(numbers).size, numbers.length);
    t.deepEqual([...numbersIn(text)].sort(), [...numbers].sort());
  });

  it('docs/EVENTS.md lists exactly the log events, with the same values', t => {
    const text = readPage('EVENTS.md');
    const events: [string, LogEvent][] = Object.entries(LOG_EVENTS);
    events.forEach(([id, { number, level, summary }]) => {
      const line = `| ${number} | \`${id}\` | ${level} | ${summary} |`;
      t.true(text.includes(line), id);
    });
    const numbers = events.map(([, { number }]) => number);
    t.is(new Set(numbers).size, numbers.length);
    t.deepEqual([...numbersIn(text)].sort(), [...numbers].sort());
  });
});
