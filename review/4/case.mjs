// One gateway gets SIGTERM while requesters read answers at a steady, slow pace. Every
// answer would be read to its end within the grace period and its time limit.
import { spawn } from 'node:child_process';
import path from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';

import { configuration, resolve, startCluster } from '../lib/cluster.mjs';
import { runCase } from '../lib/run.mjs';

const ANSWER_BYTES = 900_000;
const READ_BYTES_PER_S = 350_000;
const WORK_MS = 60;
const TIME_LIMIT_MS = 3000;
const GRACE_MS = 8000;
/** Requests from before SIGTERM to after it, in milliseconds. */
const FIRST_MS = -1000;
const LAST_MS = 4300;
const EVERY_MS = 250;
/**
 * Some requesters keep an answer of the directory three times as long as it says; that
 * from just before SIGTERM says 2 s.
 */
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

await runCase(
  import.meta.dirname,
  async ({ record, trouble, folder, atEnd }) => {
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
    const reading = [];
    const send = atMs => {
      const id = `q${reading.length + 1}`;
      reading.push(
        readSlowly(stopped.front, id, atEnd).then(end => ({ ...end, atMs })),
      );
    };
    const times = Array.from(
      { length: (LAST_MS - FIRST_MS) / EVERY_MS + 1 },
      (_, i) => FIRST_MS + i * EVERY_MS,
    );
    for (const atMs of times.filter(ms => ms < 0)) {
      send(atMs);
      await sleep(EVERY_MS);
    }
    const resolution = await resolve(gateways[1]);
    record.note(`the directory answers ${JSON.stringify(resolution)}`);
    const keptMs = KEPT_FACTOR * 1000 * resolution.ttl_s;
    if (
      !resolution.addresses.includes(stopped.front) ||
      keptMs < LAST_MS + 500
    ) {
      throw new Error('no requester would use the address for so long');
    }
    const stopMs = performance.now();
    if (trouble) {
      stopped.signal('SIGTERM');
      record.note('SIGTERM to front-1');
      stopped.process.once('exit', (code, signal) => {
        const tookMs = Math.round(performance.now() - stopMs);
        record.note(
          `front-1 ended (${code ?? signal}) ${tookMs} ms after SIGTERM`,
        );
      });
      setTimeout(() => {
        if (stopped.process.exitCode === null) {
          stopped.signal('SIGKILL');
        }
      }, GRACE_MS).unref();
    }
    for (const atMs of times.filter(ms => ms >= 0)) {
      await sleep(Math.max(0, stopMs + atMs - performance.now()));
      send(atMs);
    }
    const ends = await Promise.all(reading);
    ends.forEach(({ id, atMs, status, bytes, length, how, ms }) => {
      record.note(
        `${id}, sent ${atMs} ms after SIGTERM: ${status}, ${how}, ${bytes} of ${length} bytes, ${ms} ms after it was sent`,
      );
    });
    await sleep(200);
    return ends
      .filter(({ id, how }) => ran.has(id) && how !== 'whole')
      .map(
        ({ id, atMs, how, bytes, length, ms }) =>
          `LOST: ${id}, sent ${atMs} ms after SIGTERM, was run, and its channel was ${how} after ${bytes} of ${length} bytes, ${ms} ms later`,
      );
  },
);
