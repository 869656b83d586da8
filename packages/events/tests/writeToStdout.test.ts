import { execFile } from 'node:child_process';
import path from 'node:path';
import { promisify } from 'node:util';
import { describe } from '@jujubecroft/testing';

const MODULE = path.resolve(import.meta.dirname, '../src/writeToStdout.ts');
/** More than a pipe holds. */
const LINES = 400;
const LINE_LENGTH = 1000;

/** Writes lines one after another and reports the longest time of a call. */
const PROGRAM = `
  const { createStdoutWriter } = await import(${JSON.stringify(MODULE)});
  const write = createStdoutWriter();
  let longestMs = 0;
  const next = index => {
    if (index === ${LINES}) {
      console.error(longestMs);
      return;
    }
    const line = String(index).padEnd(${LINE_LENGTH - 1}, '.') + '\\n';
    const startMs = performance.now();
    write(Buffer.from(line), () => setImmediate(next, index + 1));
    longestMs = Math.max(longestMs, performance.now() - startMs);
  };
  next(0);
`;

async function run(
  redirection: string,
): Promise<{ readonly lines: readonly string[]; readonly longestMs: number }> {
  const { stdout, stderr } = await promisify(execFile)(
    'sh',
    [
      '-c',
      `"$0" --import=tsx --input-type=module -e "$1" ${redirection}`,
    ].concat(process.execPath, PROGRAM),
    { maxBuffer: 2 * LINES * LINE_LENGTH },
  );
  return {
    lines: stdout.split('\n').filter(Boolean),
    longestMs: Number(stderr),
  };
}

const EXPECTED = Array.from({ length: LINES }, (_, index) =>
  String(index).padEnd(LINE_LENGTH - 1, '.'),
);

describe('createStdoutWriter', ({ it }) => {
  it('writes all lines in order to a pipe whose reader stalls, and does not block', async t => {
    const { lines, longestMs } = await run('| (sleep 1; cat)');
    t.deepEqual(lines, EXPECTED);
    t.true(longestMs < 500);
  });

  it('writes all lines in order to a socket', async t => {
    const { lines } = await run('');
    t.deepEqual(lines, EXPECTED);
  });
});
