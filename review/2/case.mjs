// One gateway gets SIGTERM while requesters read answers at a steady, slow pace. Every
// answer would be read to its end within the grace period and its time limit.
import { spawn } from 'node:child_process';
import path from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';

import { configuration, resolve, startCluster } from '../lib/cluster.mjs';
import { runCase } from '../lib/run.mjs';

const REQUESTERS = 4;
const ANSWER_BYTES = 900_000;
const READ_BYTES_PER_S = 350_000;
const WORK_MS = 60;
const TIME_LIMIT_MS = 3000;
const GRACE_MS = 8000;
/**
 * Time from SIGTERM to the requests, in milliseconds. The directory's answer, from before
 * SIGTERM, states 2 s; some requesters keep it three times as long.
 */
const SEND_AFTER_MS = Number(process.env.SEND_AFTER_MS ?? 4150);
const KEPT_FACTOR = 3;

/** Runs one requester; resolves with what came of its request. */
function readSlowly(front, id, atEnd) {
  const child = spawn(
    'perl',
    [
      path.join(import.meta.dirname, 'slow-requester.pl'),
      ...front.split(':'),
      '/evidence/a',
      id,
      String(TIME_LIMIT_MS),
      String(READ_BYTES_PER_S),
    ],
    { stdio: ['ignore', 'pipe', 'inherit'] },
  );
  atEnd(() => child.kill('SIGKILL'));
  return new Promise((resolve, reject) => {
    let text = '';
    child.stdout.on('data', part => {
      text += part;
    });
    child.once('error', reject);
    child.once('close', () => {
      const [status, bytes, length, how, ms] = text.trim().split(' ');
      resolve({ id, status, bytes, length, how, ms });
    });
  });
}

await runCase(import.meta.dirname, async ({ record, trouble, folder, atEnd }) => {
  const body = 'e'.repeat(ANSWER_BYTES);
  const { gateways, replicas } = await startCluster({
    gateways: 3,
    replicas: Array.from({ length: 3 }, (_, index) => ({
      id: `i-${index + 1}`,
      service: 'field-app',
      workMs: () => WORK_MS,
    })),
    cfg: configuration(
      7,
      [
        {
          name: 'r-evidence',
          prefix: '/evidence/',
          kind: 'unsafe',
          service: 'field-app',
          timeout_ms: TIME_LIMIT_MS,
        },
      ],
      [{ name: 'field-app' }],
    ),
    folder,
    atEnd,
  });
  const ran = new Set();
  const answered = new Set();
  replicas.forEach(replica => {
    replica.bodyOf = () => body;
    replica.onRun = (_, id) => ran.add(id);
    replica.onAnswered = req => {
      answered.add(req.headers['x-jujubecroft-request-id']);
    };
  });
  const [stopped] = gateways;
  const resolution = await resolve(gateways[1]);
  const askedMs = performance.now();
  record.note(`the directory answers ${JSON.stringify(resolution)}`);
  const stopMs = performance.now();
  if (trouble) {
    stopped.signal('SIGTERM');
    record.note('SIGTERM to front-1');
    stopped.process.once('exit', (code, signal) => {
      const tookMs = Math.round(performance.now() - stopMs);
      record.note(`front-1 ended (${code ?? signal}) ${tookMs} ms after SIGTERM`);
    });
    setTimeout(() => {
      if (stopped.process.exitCode === null) {
        stopped.signal('SIGKILL');
      }
    }, GRACE_MS).unref();
  }
  await sleep(SEND_AFTER_MS);
  const isKept =
    resolution.addresses.includes(stopped.front) &&
    performance.now() - askedMs < KEPT_FACTOR * 1000 * resolution.ttl_s;
  if (!isKept) {
    throw new Error('no requester would use this address any more');
  }
  const reading = Array.from({ length: REQUESTERS }, (_, index) =>
    readSlowly(stopped.front, `q${index + 1}`, atEnd),
  );
  record.note(`${REQUESTERS} requests are sent to front-1`);
  const ends = await Promise.all(reading);
  record.note(`the replicas have answered ${[...answered].join(', ')}`);
  ends.forEach(({ id, status, bytes, length, how, ms }) => {
    record.note(
      `${id}: ${status}, ${how}, ${bytes} of ${length} bytes, ${ms} ms after it was sent`,
    );
  });
  await sleep(200);
  return ends
    .filter(({ id, how }) => ran.has(id) && how !== 'whole')
    .map(
      ({ id, how, bytes, length, ms }) =>
        `LOST: ${id} was run, and its channel was ${how} after ${bytes} of ${length} bytes, ${ms} ms after it was sent`,
    );
});
