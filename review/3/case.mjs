// Replicas of a plain service send a second copy of some of their answers late, on the
// connection where the answer to the next request is due. Some of these copies are of
// rejections: they bear the id of the rejected request.
import { setTimeout as sleep } from 'node:timers/promises';

import { configuration, randomFrom, startCluster } from '../lib/cluster.mjs';
import { runCase } from '../lib/run.mjs';

const REPLICAS = 3;
const SLOTS = 6;
const QUEUE = 24;
/** Mean time of a run, in milliseconds. */
const WORK_MS = 60;
const LENGTH_MS = Number(process.env.LENGTH_MS ?? 40_000);
const PER_S = Number(process.env.PER_S ?? 360);
/** The largest dose of `garble` "extra late" on the site: 0.6 of the replicas, 0.03, 5 s. */
const FAULTY_REPLICAS = 1;
const EXTRA_SHARE = 0.03;
const FAULT_MS = 5000;
const FAULT_EVERY_MS = 10_000;
const REFUSALS = [408, 421, 429, 503];

await runCase(
  import.meta.dirname,
  async ({ record, trouble, folder, atEnd }) => {
    const random = randomFrom(66);
    const runs = new Map();
    const cluster = await startCluster({
      gateways: 3,
      replicas: Array.from({ length: REPLICAS }, (_, index) => ({
        id: `i-${index + 1}`,
        service: 'field-app',
        slots: SLOTS,
        queue: QUEUE,
        workMs: () => WORK_MS * (0.5 + random()),
      })),
      cfg: configuration(
        7,
        [
          {
            name: 'r-upload',
            prefix: '/upload/',
            kind: 'unsafe',
            service: 'field-app',
          },
        ],
        [{ name: 'field-app' }],
      ),
      folder,
      atEnd,
    });
    const { replicas, gateways, requester } = cluster;
    const beganMs = performance.now();
    const isFaulty = () =>
      trouble && (performance.now() - beganMs) % FAULT_EVERY_MS < FAULT_MS;
    const counts = { rejected: 0, extras: 0, extraRejections: 0 };

    /** Second copies that wait for the next request on their connection. */
    const late = new WeakMap();
    replicas.forEach((replica, index) => {
      replica.onRun = (_, id) => {
        runs.set(id, [...(runs.get(id) ?? []), replica.id]);
      };
      replica.onAnswered = (req, socket, status, bytes) => {
        counts.rejected += status === 503 ? 1 : 0;
        if (index < FAULTY_REPLICAS && isFaulty() && random() < EXTRA_SHARE) {
          late.set(socket, {
            bytes,
            status,
            id: req.headers['x-jujubecroft-request-id'],
          });
        }
      };
      replica.onArrival = (req, socket) => {
        const extra = late.get(socket);
        if (extra) {
          late.delete(socket);
          counts.extras += 1;
          counts.extraRejections += extra.status === 503 ? 1 : 0;
          const id = req.headers['x-jujubecroft-request-id'];
          record.note(
            `${replica.id} sends a second copy of its ${extra.status} to ${extra.id} where the answer to ${id} is due`,
          );
          socket.write(extra.bytes);
        }
        return false;
      };
    });

    const answers = new Map();
    const pending = [];
    let number = 0;
    let dueMs = performance.now();
    while (performance.now() - beganMs < LENGTH_MS) {
      dueMs += (-Math.log(1 - random()) * 1000) / PER_S;
      const waitMs = dueMs - performance.now();
      if (waitMs > 1) {
        await sleep(waitMs);
      }
      number += 1;
      const id = `q${String(number).padStart(6, '0')}`;
      const { front } = gateways[Math.floor(random() * gateways.length)];
      pending.push(
        requester
          .send(front, { id, path: '/upload/a', body: `evidence ${id}` })
          .then(answer => {
            answers.set(id, answer);
            record.note(
              `${id} POST /upload/a to ${front}: answered ${answer.status}; ran at ${(runs.get(id) ?? []).join(', ') || 'none'}`,
            );
          }),
      );
    }
    await Promise.all(pending);
    await sleep(1000);

    const byStatus = {};
    answers.forEach(({ status }) => {
      byStatus[status] = (byStatus[status] ?? 0) + 1;
    });
    record.note(`answers by status: ${JSON.stringify(byStatus)}`);
    record.note(
      `at the replicas: ${JSON.stringify(counts)}, runs of ${runs.size} requests`,
    );
    console.log(JSON.stringify({ byStatus, counts, runs: runs.size }));
    const breaches = [];
    answers.forEach(({ status, body }, id) => {
      const ran = runs.get(id) ?? [];
      if (REFUSALS.includes(status) && ran.length > 0) {
        breaches.push(
          `REFUSED: ${id} was answered ${status} (${body}) and has run at ${ran.join(', ')}`,
        );
      }
      if (ran.length > 1) {
        breaches.push(`TWICE: ${id} has run at ${ran.join(', ')}`);
      }
    });
    return breaches;
  },
);
