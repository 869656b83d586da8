import { describe } from '@jujubecroft/testing';

import type { ParsedLine } from '../src/index.js';
import { createBoundedLog, LineWriter, readLogLines } from '../src/index.js';

/** A reader that does not finish a write until `resume` is called. */
function stalledReader() {
  const written: string[] = [];
  let finishWrite: (() => void) | null = null;
  return {
    written,
    write: (bytes: Buffer, done: (err: Error | null) => void): void => {
      written.push(bytes.toString('utf8'));
      finishWrite = () => {
        done(null);
      };
    },
    resume: (): void => {
      finishWrite?.();
    },
  };
}

describe('LineWriter', ({ it }) => {
  it('does not wait for a stalled reader, and counts the lines that it drops', t => {
    // Writes to a full pipe block the whole process, so requests would hang while a
    // log collector is stuck. Lines must be dropped and counted instead.
    const reader = stalledReader();
    const writer = new LineWriter(reader.write);
    const line = 'x'.repeat(1000);
    Array.from({ length: 2000 }).forEach(() => {
      writer.write(line);
    });
    t.is(reader.written.length, 1);
    const dropped = writer.takeDropped();
    t.true(dropped > 1000 && dropped < 2000);
    t.is(writer.takeDropped(), 0);
    reader.resume();
    t.is(reader.written.length, 2);
    const lines = reader.written.join('').split('\n').filter(Boolean);
    t.is(lines.length + dropped, 2000);
  });
});

describe('createBoundedLog', ({ it }) => {
  const logOf = (clock: () => number) => {
    const reader = stalledReader();
    const log = createBoundedLog({
      instance: 'i-1',
      level: 'info',
      clock,
      writer: new LineWriter((bytes, done) => {
        reader.write(bytes, done);
        done(null);
      }),
    });
    return {
      log,
      lines: (): readonly ParsedLine[] => readLogLines(reader.written.join('')),
    };
  };

  it('limits the lines of an event per second and reports how many it left out', t => {
    let nowMs = 0;
    const { log, lines } = logOf(() => nowMs);
    Array.from({ length: 1000 }, (_, index) => index).forEach(request => {
      log.write('requestRefused', { request });
    });
    log.write('platformDown', { call: 'replicas' });
    t.is(lines().filter(({ id }) => id === 'requestRefused').length, 300);
    t.is(lines().filter(({ id }) => id === 'platformDown').length, 1);
    nowMs = 1500;
    log.write('requestRefused', { request: 'later' });
    const [left] = lines().filter(({ id }) => id === 'linesLeftOut');
    t.is(left?.fields.of, 'requestRefused');
    t.is(left?.fields.left, 700);
  });

  // A burst may refuse hundreds of requests per second for two reasons. Lines about
  // the rarer reason are left out as well; its count must still be reported.
  it('counts left-out lines by cause, with a lower limit for successes than for refusals', t => {
    let nowMs = 0;
    const { log, lines } = logOf(() => nowMs);
    Array.from({ length: 1000 }, (_, index) => index).forEach(request => {
      const code = request % 10 === 0 ? 'instanceLeaving' : 'overloaded';
      log.write('requestRefused', { request, code });
      log.write('requestAnswered', { request, status: 200 });
    });
    t.is(lines().filter(({ id }) => id === 'requestAnswered').length, 100);
    nowMs = 1500;
    log.write('requestRefused', { request: 'later', code: 'overloaded' });
    const [left] = lines().filter(({ id }) => id === 'linesLeftOut');
    t.deepEqual(left?.fields.causes, { instanceLeaving: 70, overloaded: 630 });
  });
});
