import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { Crowd, describe } from '@jujubecroft/testing';

const PROGRAM = path.resolve(import.meta.dirname, '../../src/main.ts');
const SECOND_OCTET = (process.pid % 250) + 2;
const PORTS = { callers: 7301, control: 7400, platform: 7000 } as const;
/** Heap and memory of the process, in MB. */
const HEAP_MB = 160;
const MEMORY_MB = 350;
const KB_PER_MB = 1024;
const CLIENTS = 60;
const BYTES_PER_CLIENT = 4 * 1024 * 1024;
const BATCH_BYTES = 64 * 1024;
const HOLD_MS = 3000;
const POLL_MS = 50;

const HOST = 'Host: a\r\n\r\n';
const REQUESTS: Readonly<Record<string, string>> = {
  'for readiness': `GET /ready HTTP/1.1\r\n${HOST}`,
  'for the metrics': `GET /metrics HTTP/1.1\r\n${HOST}`,
  'without any header': 'GET /health HTTP/1.1\r\n\r\n',
  'at an unknown path': `GET /none HTTP/1.1\r\n${HOST}`,
  'with a body of 1 MB that does not end': `POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 1048576\r\n\r\n${'b'.repeat(1_000_000)}`,
};
let fleetCount = 0;

async function writeSettings(ip: string, folder: string): Promise<string> {
  const platformFile = path.join(folder, 'platform.json');
  const file = path.join(folder, 'instance.json');
  const listen = (port: number): object => ({ host: ip, port });
  await writeFile(
    platformFile,
    JSON.stringify({
      kind: 'platform',
      listen: listen(PORTS.platform),
      instances: [],
    }),
  );
  await writeFile(
    file,
    JSON.stringify({
      kind: 'instance',
      instance: 'entry-1',
      failureDomain: 'z-1',
      callers: listen(PORTS.callers),
      control: listen(PORTS.control),
      platformUrl: `http://${ip}:${PORTS.platform}`,
    }),
  );
  return folder;
}

function start(
  nodeArguments: readonly string[],
  args: readonly string[],
): ChildProcess {
  return spawn(
    process.execPath,
    [...nodeArguments, '--import=tsx', PROGRAM, ...args],
    { stdio: 'ignore' },
  );
}

const statusOf = (url: string): Promise<number> =>
  fetch(url).then(
    ({ status }) => status,
    () => 0,
  );

async function waitFor(url: string): Promise<void> {
  while ((await statusOf(url)) === 0) {
    await sleep(POLL_MS);
  }
}

/** Runs a test body with a process of `serve` and a stand-in of the platform. */
async function withServe(
  body: (server: ChildProcess, ip: string) => Promise<void>,
): Promise<void> {
  fleetCount += 1;
  const ip = `127.${SECOND_OCTET}.${200 + fleetCount}.1`;
  const folder = await writeSettings(
    ip,
    await mkdtemp(path.join(tmpdir(), 'jujubecroft-serve-')),
  );
  const platform = start(
    [],
    ['stand-in', 'platform', path.join(folder, 'platform.json')],
  );
  await waitFor(`http://${ip}:${PORTS.platform}/`);
  const server = start(
    [`--max-old-space-size=${HEAP_MB}`],
    ['serve', path.join(folder, 'instance.json')],
  );
  try {
    await waitFor(`http://${ip}:${PORTS.callers}/health`);
    await body(server, ip);
  } finally {
    server.kill('SIGKILL');
    platform.kill('SIGKILL');
    await rm(folder, { recursive: true, force: true });
  }
}

describe('clients of serve that read no answer', ({ itAlone }) => {
  Object.entries(REQUESTS).forEach(([title, request]) => {
    // Guards against memory that grows with the requests that are read and not answered.
    itAlone(`leave it running if they send requests ${title}`, async t => {
      await withServe(async (server, ip) => {
        const bytes = request.repeat(Math.ceil(BATCH_BYTES / request.length));
        const crowd = new Crowd({ host: ip, port: PORTS.callers });
        crowd.flood(CLIENTS, bytes, BYTES_PER_CLIENT);
        await sleep(HOLD_MS);
        t.is(server.exitCode, null, 'the process runs');
        t.is(server.signalCode, null, 'the process runs');
        const status = readFileSync(`/proc/${server.pid ?? 0}/status`, 'utf8');
        const peakMb = Number(/VmHWM:\s*(\d+)/.exec(status)?.[1]) / KB_PER_MB;
        t.true(peakMb < MEMORY_MB, `${peakMb} MB at the peak`);
        crowd.leave();
        t.is(await statusOf(`http://${ip}:${PORTS.callers}/health`), 200);
      });
    });
  });
});
