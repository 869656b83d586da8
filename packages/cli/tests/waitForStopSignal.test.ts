import { spawn } from 'node:child_process';
import { once } from 'node:events';
import path from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { describe } from '@jujubecroft/testing';

const MODULE = path.resolve(import.meta.dirname, '../src/waitForStopSignal.ts');
/** Time that the program takes to stop after the first signal. */
const STOP_MS = 600;
const BETWEEN_SIGNALS_MS = 100;
const PROGRAM = `
  import { waitForStopSignal } from ${JSON.stringify(MODULE)};
  const keepAlive = setInterval(() => undefined, 1000);
  const stopped = waitForStopSignal();
  console.log('ready');
  await stopped;
  await new Promise(resolve => setTimeout(resolve, ${STOP_MS}));
  clearInterval(keepAlive);
`;

async function exitAfter(
  signals: readonly NodeJS.Signals[],
): Promise<readonly unknown[]> {
  const child = spawn(
    process.execPath,
    ['--import=tsx', '--input-type=module', '--eval', PROGRAM],
    { stdio: ['ignore', 'pipe', 'inherit'] },
  );
  const exited = once(child, 'exit') as Promise<readonly unknown[]>;
  await once(child.stdout, 'data');
  for (const signal of signals) {
    child.kill(signal);
    await sleep(BETWEEN_SIGNALS_MS);
  }
  return exited;
}

describe('waitForStopSignal', ({ it }) => {
  // Guards against requests that are cut off: a second SIGTERM ended the process at once.
  it('lets a graceful stop finish if the signal is repeated', async t => {
    t.deepEqual(await exitAfter(['SIGTERM', 'SIGTERM', 'SIGTERM']), [0, null]);
  });

  it('ends the process at a second interrupt from the keyboard', async t => {
    t.deepEqual(await exitAfter(['SIGINT', 'SIGINT']), [null, 'SIGINT']);
  });
});
