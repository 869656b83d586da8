import { execFile, spawn } from 'node:child_process';
import { mkdtemp, readFile, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { promisify } from 'node:util';
import { describe } from '@jujubecroft/testing';

const REPOSITORY_PATH = path.resolve(import.meta.dirname, '../../..');
/**
 * With this seed the run has faults of processes, of links and of the store.
 */
const SEED = 106;
/** With this seed the run has a fault of each kind of invalid response. */
const INVALID_RESPONSES_SEED = 690_009;
/** With this seed the run has early and stalled callers, and replicas that contradict themselves. */
const EARLY_CALLERS_SEED = 720_106;
/** With this seed the run has silent replicas and a series of changes. */
const SILENT_REPLICAS_SEED = 810_007;

/** Runs a soak with the given options, and returns its output. */
async function runSoak(
  seed: number,
  options: readonly string[],
): Promise<string> {
  const folder = await mkdtemp(path.join(tmpdir(), 'jujubecroft-soak-'));
  try {
    const { stdout } = await promisify(execFile)(
      process.execPath,
      [
        '--import=tsx',
        path.join(REPOSITORY_PATH, 'packages/cli/src/main.ts'),
        ...['soak', '--untimed', '--seed', String(seed), '--folder', folder],
        ...options,
      ],
      { cwd: REPOSITORY_PATH },
    );
    return stdout;
  } finally {
    await rm(folder, { recursive: true, force: true });
  }
}

describe('soak', ({ itAlone }) => {
  // Gateways and replicas are killed, paused and stopped and links go silent
  // under load. Callers must get their own complete answers or truthful
  // refusals, and no request may run twice. Promises about time are checked in
  // manual runs.
  itAlone('breaks no untimed promise under random faults', async t => {
    const stdout = await runSoak(SEED, ['--seconds', '14', '--processes', '7']);
    t.regex(stdout, new RegExp(`^seed ${SEED}: kept; \\d+ requests`));
    const [, served = '0'] = /(\d+) served/.exec(stdout) ?? [];
    t.true(Number(served) > 0, stdout);
  });

  // Replicas send invalid status lines, late copies of rejections and bytes without end.
  // Gateways must keep running and refuse truthfully.
  itAlone('breaks no untimed promise when responses are invalid', async t => {
    const stdout = await runSoak(INVALID_RESPONSES_SEED, [
      ...['--seconds', '24', '--processes', '7'],
      '--kinds',
      'replica-copies-rejections,replica-never-ends,replica-spoils-heads',
    ]);
    t.regex(stdout, /: kept; \d+ requests/);
    t.regex(stdout, / 3 faults: /);
  });

  // Callers begin the next request early, send in parts, stall and break off; replicas state
  // "not run" after a run. Nothing may promise "not run" for a request that ran.
  itAlone('breaks no untimed promise when callers send early', async t => {
    const stdout = await runSoak(EARLY_CALLERS_SEED, [
      ...['--seconds', '24', '--processes', '7'],
      '--kinds',
      'callers-send-early,callers-stall,replicas-contradict',
    ]);
    t.regex(stdout, /: kept; \d+ requests/);
    t.regex(stdout, / 3 faults: /);
  });

  // Replicas write nothing for a second or so, while routes, limits and keys change in
  // series. A request that runs at such a replica must not be ended for it.
  itAlone(
    'breaks no untimed promise when sound replicas fall silent',
    async t => {
      const stdout = await runSoak(SILENT_REPLICAS_SEED, [
        ...['--seconds', '22', '--processes', '8'],
        '--kinds',
        'replica-silence,configuration-series',
      ]);
      t.regex(stdout, /: kept; \d+ requests/);
      t.regex(stdout, / 2 faults: /);
    },
  );

  // Gateways that outlive an interrupted soak would keep their addresses and
  // memory and disturb the next soak.
  itAlone('leaves no child process behind when interrupted', async t => {
    const folder = await mkdtemp(path.join(tmpdir(), 'jujubecroft-soak-'));
    const soak = spawn(
      process.execPath,
      [
        '--import=tsx',
        path.join(REPOSITORY_PATH, 'packages/cli/src/main.ts'),
        ...['soak', '--seed', '1', '--processes', '6', '--folder', folder],
      ],
      { cwd: REPOSITORY_PATH, stdio: 'ignore' },
    );
    const ended = new Promise(resolve => soak.once('exit', resolve));
    const children = async (): Promise<readonly number[]> => {
      const file = `/proc/${soak.pid ?? 0}/task/${soak.pid ?? 0}/children`;
      const text = await readFile(file, 'utf8');
      return text.split(' ').filter(Boolean).map(Number);
    };
    let pids = await children();
    while (pids.length < 6) {
      await new Promise(resolve => setTimeout(resolve, 20));
      pids = await children();
    }
    soak.kill('SIGINT');
    await ended;
    const isUp = (pid: number): boolean => {
      try {
        return process.kill(pid, 0);
      } catch {
        return false;
      }
    };
    while (pids.some(isUp)) {
      await new Promise(resolve => setTimeout(resolve, 20));
    }
    t.false(pids.some(isUp));
    await rm(folder, { recursive: true, force: true });
  });
});
