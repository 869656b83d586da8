// A replica of a language model spoils one byte of the status line of some answers:
// "200" becomes "020". Callers of other, sound replicas use the same gateways.
import { Agent, request } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import { configuration, randomFrom, startCluster } from '../lib/cluster.mjs';
import { runCase } from '../lib/run.mjs';

const LENGTH_MS = 40_000;
const STREAMS_PER_S = 120;
const UPLOADS_PER_S = 100;
/** The site's `garble`: a share of 0.35 of the replicas spoils 0.02 of its answers, for 5.5 s. */
const FAULT_MS = 5500;
const FAULT_EVERY_MS = 10_000;
const SPOILT_SHARE = 0.02;
const FAULTY = 2;
/** The platform starts a process again after a short delay. */
const RESTART_AFTER_MS = 500;
const EVENTS = Array.from(
  { length: 5 },
  (_, i) => `id: ${i + 1}\ndata: piece\n\n`,
).join('');

await runCase(
  import.meta.dirname,
  async ({ record, trouble, folder, atEnd }) => {
    const random = randomFrom(66);
    const llm = Array.from({ length: 6 }, (_, i) => ({
      id: `m-${i + 1}`,
      service: 'jujube-llm',
      slots: 64,
      workMs: () => 200,
    }));
    const app = Array.from({ length: 3 }, (_, i) => ({
      id: `i-${i + 1}`,
      service: 'field-app',
      workMs: () => 86,
    }));
    const { gateways, replicas } = await startCluster({
      gateways: 3,
      replicas: [...llm, ...app],
      cfg: configuration(
        7,
        [
          {
            name: 'r-draft',
            prefix: '/draft/',
            kind: 'streaming',
            service: 'jujube-llm',
            timeout_ms: 12_000,
            target_latency_ms: 2000,
          },
          {
            name: 'r-upload',
            prefix: '/upload/',
            kind: 'unsafe',
            service: 'field-app',
            timeout_ms: 2000,
          },
        ],
        [{ name: 'jujube-llm' }, { name: 'field-app' }],
      ),
      folder,
      atEnd,
    });
    const runs = new Map();
    let spoilt = 0;
    const beganMs = performance.now();
    const isFaulty = index =>
      trouble &&
      index < FAULTY &&
      (performance.now() - beganMs) % FAULT_EVERY_MS < FAULT_MS;
    replicas.forEach((replica, index) => {
      replica.onRun = (_, id) => runs.set(id, replica.id);
      replica.bodyOf = () => EVENTS;
      replica.spoil = bytes => {
        if (!isFaulty(index) || random() >= SPOILT_SHARE) {
          return bytes;
        }
        spoilt += 1;
        record.note(`${replica.id} spoils a status line`);
        return Buffer.from(
          bytes.toString('latin1').replace(' 200 ', ' 020 '),
          'latin1',
        );
      };
    });
    const ends = [];
    gateways.forEach(gateway => {
      const watch = () => {
        gateway.process.once('exit', (code, signal) => {
          if (signal === 'SIGKILL') {
            return;
          }
          ends.push(gateway.options.name);
          record.note(
            `${gateway.options.name} ended by itself (${code ?? signal})`,
          );
          setTimeout(() => {
            gateway.start();
            watch();
          }, RESTART_AFTER_MS).unref();
        });
      };
      watch();
    });
    const agent = new Agent({ keepAlive: true });
    atEnd(() => agent.destroy());
    const lost = [];
    const pending = [];
    const send = (id, path) => {
      const [host, port] = gateways[Math.floor(random() * 3)].front.split(':');
      pending.push(
        new Promise(resolve => {
          const note = answer => {
            record.note(
              `${id} POST ${path} to ${host}: answered ${answer}; ran at ${runs.get(id) ?? 'none'}`,
            );
          };
          const req = request(
            {
              agent,
              host,
              port,
              method: 'POST',
              path,
              headers: {
                Host: 'a.example',
                'X-Jujubecroft-Request-Id': id,
                'X-Jujubecroft-Deadline-Ms': '4000',
                'Content-Length': 2,
              },
            },
            res => {
              res.resume();
              res.once('close', () => {
                note(
                  `${res.statusCode}, ${res.complete ? 'whole' : 'broken off'}`,
                );
                resolve();
              });
              res.once('error', () => undefined);
            },
          );
          req.once('error', err => {
            note(
              `nothing (${err.code}${req.reusedSocket ? ', kept channel' : ''})`,
            );
            if (req.reusedSocket && runs.has(id) && id.startsWith('u')) {
              lost.push(id);
            }
            resolve();
          });
          req.end('hi');
        }),
      );
    };
    const share = STREAMS_PER_S / (STREAMS_PER_S + UPLOADS_PER_S);
    for (let n = 1; performance.now() - beganMs < LENGTH_MS; n += 1) {
      const isStream = random() < share;
      send(`${isStream ? 's' : 'u'}${n}`, isStream ? '/draft/a' : '/upload/a');
      await sleep(
        (-Math.log(1 - random()) * 1000) / (STREAMS_PER_S + UPLOADS_PER_S),
      );
    }
    await Promise.all(pending);
    record.note(
      `${spoilt} status lines spoilt, ${ends.length} processes ended by themselves`,
    );
    console.log(
      `${spoilt} status lines spoilt, ${ends.length} processes ended by themselves`,
    );
    return lost.length > 3
      ? [
          `LOST: ${lost.length} requests that a sound replica had begun to run got no answer on a kept channel: ${lost.join(', ')}`,
        ]
      : [];
  },
);
