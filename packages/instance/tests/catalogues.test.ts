import { readFileSync } from 'node:fs';
import path from 'node:path';
import type { LogEvent } from '@jujubecroft/events';
import { LOG_EVENTS } from '@jujubecroft/events';
import { describe } from '@jujubecroft/testing';
import type { ResultCode } from '@jujubecroft/types';
import { RESULT_CODES } from '@jujubecroft/types';

const docs = path.resolve(import.meta.dirname, '../../../docs');
const page = (name: string): string =>
  readFileSync(path.join(docs, name), 'utf8').replaceAll(/ +/g, ' ');

/** Table rows that begin with a number. */
const numbersIn = (text: string): readonly number[] =>
  [...text.matchAll(/^\| (\d+) \|/gm)].map(match => Number(match[1]));

describe('catalogues', ({ it }) => {
  it('lists every result code as it is in the code, and no other', t => {
    const text = page('ERRORS.md');
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

  it('lists every log event as it is in the code, and no other', t => {
    const text = page('EVENTS.md');
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
