// A gateway's opening packet to a replica is dropped, since the replica's queue of new
// channels is full. It reaches the replica through another gateway, whose process is
// then killed while the answer, which has no length, is on its way.
import { spawn } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { connect } from 'node:net';
import path from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';

import { configuration, startCluster } from '../lib/cluster.mjs';
import { runCase } from '../lib/run.mjs';

const ROUNDS = 5;
const PIECES = 10;
const PIECE_EVERY_MS = 100;
const TIME_LIMIT_MS = 4000;
/** The route's time limit on the site. */
const ROUTE_TIMEOUT_MS = 2000;
/** Time for which the replica accepts no new channel, in milliseconds. */
const FULL_MS = 85;
const FILLERS = 3;
/** Time from the begin of the run to the kill. */
const KILL_AFTER_MS = 500;
const ID = 'i-1';
const STAMP = 'x-jujubecroft-response-stamp';

function wholeBody(id) {
  return Array.from({ length: PIECES }, (_, i) => `${id} line ${i + 1}\n`).join(
    '',
  );
}

/** Starts the replica; returns its process and address. */
async function startReplica(host, atEnd, onMessage) {
  const child = spawn(
    process.execPath,
    [
      path.join(import.meta.dirname, 'replica.mjs'),
      ID,
      host,
      String(PIECES),
      String(PIECE_EVERY_MS),
    ],
    { stdio: ['ignore', 'inherit', 'inherit', 'ipc'] },
  );
  atEnd(() => child.kill('SIGKILL'));
  const port = await new Promise((resolve, reject) => {
    child.once('exit', () => reject(new Error('the replica ended')));
    child.on('message', message => {
      if (message.type === 'listens') {
        resolve(message.port);
      } else {
        onMessage(message);
      }
    });
  });
  return { child, address: `${host}:${port}`, host, port };
}

/** Keeps the queue of new channels full for a short time. */
async function fillQueue({ child, host, port }) {
  child.kill('SIGSTOP');
  const fillers = Array.from({ length: FILLERS }, () => {
    const socket = connect({ host, port });
    socket.on('error', () => undefined);
    return socket;
  });
  await sleep(10);
  setTimeout(() => child.kill('SIGCONT'), FULL_MS);
  setTimeout(() => fillers.forEach(socket => socket.destroy()), FULL_MS + 5);
}

/** The gateway whose log says that it opened a tunnel for another one, if any. */
function carrierSince(gateways, lengths) {
  return gateways.find(({ log }, i) =>
    readFileSync(log.path, 'utf8').slice(lengths[i]).includes('tunnelOpened'),
  );
}

await runCase(
  import.meta.dirname,
  async ({ record, trouble, folder, atEnd }) => {
    const { gateways, store, requester, network } = await startCluster({
      gateways: 3,
      replicas: [],
      cfg: configuration(
        7,
        [
          {
            name: 'r-upload',
            prefix: '/upload/',
            kind: 'unsafe',
            service: 'field-app',
            timeout_ms: ROUTE_TIMEOUT_MS,
          },
        ],
        [{ name: 'field-app' }],
      ),
      folder,
      atEnd,
    });
    const runs = new Map();
    const ends = new Map();
    const replica = await startReplica(`${network}.101`, atEnd, message => {
      if (message.type === 'runs') {
        runs.set(message.request, performance.now());
      } else {
        ends.set(message.request, message.pieces);
      }
    });
    let sequence = 0;
    const beat = () => {
      sequence += 1;
      store.put('servers', ID, {
        service: 'field-app',
        address: replica.address,
        zone: 'z-1',
        version: 'v1',
        slots: 6,
        state: 'ready',
        cold_remaining_ms: 0,
        sequence,
      });
    };
    beat();
    const beats = setInterval(beat, 1200);
    atEnd(() => clearInterval(beats));
    await sleep(2500);

    const [taker, ...others] = gateways;
    const breaches = [];
    let relayed = 0;
    for (let round = 1; round <= ROUNDS; round += 1) {
      const id = `q${round}`;
      const lengths = others.map(
        ({ log }) => readFileSync(log.path, 'utf8').length,
      );
      await fillQueue(replica);
      const answer = requester.send(taker.front, {
        id,
        path: '/upload/a',
        body: 'evidence',
        timeLeftMs: TIME_LIMIT_MS,
      });
      const untilMs = performance.now() + 4000;
      while (!runs.has(id) && performance.now() < untilMs) {
        await sleep(10);
      }
      await sleep(KILL_AFTER_MS);
      const carrier = carrierSince(others, lengths);
      record.note(
        `${id}: sent to front-1, runs at ${ID}, reached through ${carrier?.options.name ?? 'no other gateway'}`,
      );
      if (carrier) {
        relayed += 1;
        if (trouble) {
          await carrier.kill();
          record.note(`${carrier.options.name} is killed`);
        }
      }
      const { status, headers, body, error } = await answer;
      const whole = wholeBody(id);
      record.note(
        `${id}: answered ${status}${error ? ` (${error})` : ''}, stamp ${headers[STAMP]}, ${body.length} of ${whole.length} bytes; the replica had written ${ends.get(id)} of ${PIECES} pieces when its channel closed`,
      );
      if (status === 200 && headers[STAMP] && body !== whole) {
        breaches.push(
          `MIXED: ${id} got 200 with a regular end after ${body.length} of the ${whole.length} bytes of its answer`,
        );
      }
      if (carrier && trouble) {
        carrier.start();
        await carrier.untilReady();
      }
      // The lost path is tried again and restored meanwhile.
      await sleep(3500);
    }
    record.note(
      `${relayed} of ${ROUNDS} requests went through another gateway`,
    );
    if (relayed === 0) {
      throw new Error('no request went through another gateway');
    }
    return breaches;
  },
);
