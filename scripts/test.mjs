// Runs the tests: node scripts/test.mjs [ARGUMENTS OF AVA]
//
// Tests listed in KNOWN-RED.txt are skipped and printed. Each of them then runs by
// itself and has to fail, so that the list does not keep tests that pass again.
//
// Without a file, tests that measure a process run after the others, one at a time.
import { spawnSync } from 'node:child_process';
import { existsSync, readFileSync } from 'node:fs';
import path from 'node:path';

const root = path.resolve(import.meta.dirname, '..');
const AVA = path.join(root, 'node_modules', 'ava', 'entrypoints', 'cli.mjs');
/** Configurations of ava that are run one after the other. */
const GROUPS = ['ava.shared.config.js', 'ava.alone.config.js'];
/** Prefix of the command of entries that are tests; other entries are manual runs. */
const TEST_COMMAND = 'npx ava ';

/**
 * Finds the tests in a list of known faults.
 *
 * @param {string} text - one entry per line, with fields separated by semicolons
 * @returns {{ title: string, file: string }[]} title and file of each test
 */
function knownRedTests(text) {
  return text
    .split('\n')
    .map(line => line.split(';').map(field => field.trim()))
    .filter(
      ([title = '', command = '']) => title && command.startsWith(TEST_COMMAND),
    )
    .map(([title, command]) => ({
      title,
      file: command.slice(TEST_COMMAND.length),
    }));
}

/** Runs ava and returns its exit status. */
function ava(args, stdio) {
  const { status } = spawnSync(process.execPath, [AVA, ...args], {
    cwd: root,
    stdio,
  });
  return status ?? 1;
}

function main(args) {
  const list = path.join(root, 'KNOWN-RED.txt');
  const text = existsSync(list) ? readFileSync(list, 'utf8') : '';
  if (text.trim() !== '') {
    console.log(`Known red, passed over:\n${text.trimEnd()}`);
  }
  const red = knownRedTests(text);
  const exclusions = red.flatMap(({ title }) => ['--match', `!*${title}*`]);
  const groups = args.some(arg => arg.endsWith('.ts'))
    ? [[]]
    : GROUPS.map(file => ['--config', file]);
  const status = Math.max(
    ...groups.map(group => ava([...group, ...exclusions, ...args], 'inherit')),
  );
  const passing = red.filter(
    ({ title, file }) => ava(['--match', `*${title}*`, file], 'ignore') === 0,
  );
  passing.forEach(({ title }) => {
    console.error(`Known red, but it passes; take it off the list: ${title}`);
  });
  return status === 0 && passing.length > 0 ? 1 : status;
}

process.exitCode = main(process.argv.slice(2));
