// An instance cannot open a channel to a replica in time and uses one through another
// instance. That one is killed while the replica answers: the answer, which has no length,
// is cut off and looks complete.
import { fork } from 'node:child_process';
import { connect } from 'node:net';
import path from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';

import {
  configuration,
  route,
  runScenario,
  TROUBLE,
} from '../lib-2/scenario.mjs';

const REPLICA = 'i-7f3a91c2';
const PIECES = 12;
/** The whole answer of the replica. */
const WHOLE = Array.from(
  { length: PIECES },
  (_, index) => `piece ${index + 1} of ${PIECES}\n`,
).join('');
/** Channels that fill the replica's queue of new channels. */
const QUEUED_CHANNELS = 2;
/** Time for which the replica takes no new channels, in milliseconds. */
const STALL_MS = 60;
const REPORT_MS = 1200;
/** Pieces after which the process is killed. */
const KILL_AFTER_PIECES = 4;
const MAX_ROUNDS = 6;

function startReplica(scenario) {
  const file = path.resolve(import.meta.dirname, '../lib-2/replicaProcess.mjs');
  const child = fork(file, [REPLICA, '127.0.0.5']);
  const pieces = new Map();
  const replica = { child, pieces, whole: new Set(), address: null };
  child.on('message', ({ kind, request, piece, address }) => {
    if (kind === 'listening') {
      replica.address = address;
    } else if (kind === 'sent') {
      pieces.set(request, piece);
    } else {
      scenario.note(
        `replica: ${request} ${kind}${piece ? ` before piece ${piece}` : ''}`,
      );
      if (kind === 'whole') {
        replica.whole.add(request);
      }
    }
  });
  return replica;
}

/** Sends a request on a channel of its own, and reads the answer to the end of the channel. */
function ask({ host, port }, id) {
  return new Promise(resolve => {
    const socket = connect(port, host);
    const chunks = [];
    const finish = end => {
      const text = Buffer.concat(chunks).toString('latin1');
      const split = text.indexOf('\r\n\r\n');
      resolve({ end, head: text.slice(0, split), body: text.slice(split + 4) });
    };
    socket.on('data', chunk => chunks.push(chunk));
    // Where a reset arrives with the last bytes, Node.js reports an end; the channel then has no
    // remote address.
    socket.once('end', () =>
      finish(socket.remoteAddress === undefined ? 'reset' : 'closed'),
    );
    socket.once('error', err => finish(err.code));
    socket.write(
      [
        'GET /report/x HTTP/1.1',
        'Host: a.example',
        `X-Jujubecroft-Request-Id: ${id}`,
        'X-Jujubecroft-Deadline-Ms: 12000',
        'Authorization: Token key-1',
        '',
        '',
      ].join('\r\n'),
    );
  });
}

/** Fills the replica's queue of new channels while the replica stands still. */
async function fillQueue(address) {
  const [host, port] = address.split(':');
  const channels = Array.from({ length: QUEUED_CHANNELS }, () =>
    connect(Number(port), host),
  );
  await Promise.all(
    channels.map(
      channel => new Promise(resolve => channel.once('connect', resolve)),
    ),
  );
  return channels;
}

/** Sends a request whose channel to the replica goes through the other instance. */
async function askThroughOther(scenario, replica, front, id) {
  replica.child.kill('SIGSTOP');
  const queued = await fillQueue(replica.address);
  scenario.note(
    `${id}: the replica's queue of new channels is full for ${STALL_MS} ms`,
  );
  const asked = ask(front, id);
  await sleep(STALL_MS);
  replica.child.kill('SIGCONT');
  queued.forEach(channel => channel.destroy());
  return asked;
}

await runScenario(import.meta.dirname, async scenario => {
  const { store } = scenario;
  const replica = startReplica(scenario);
  scenario.onClose(() => replica.child.kill('SIGKILL'));
  while (replica.address === null) {
    await sleep(20);
  }
  let sequence = 0;
  const report = () => {
    sequence += 1;
    store.put('servers', REPLICA, {
      service: 'field-app',
      address: replica.address,
      zone: 'zone-a',
      version: 'v1',
      slots: 6,
      state: 'ready',
      cold_remaining_ms: 0,
      sequence,
    });
  };
  report();
  scenario.onClose(() => clearInterval(reports));
  const reports = setInterval(report, REPORT_MS);
  store.put(
    'op',
    'config',
    configuration(
      [route('report', 'field-app', { kind: 'safe', timeout_ms: 12_000 })],
      ['field-app'],
    ),
  );

  const tunnels = new Set();
  const all = await scenario.startGateways({
    hosts: ['127.0.0.1', '127.0.0.2'],
    onLog: (gateway, chunk) => {
      if (chunk.toString().includes('"tunnelOpened"')) {
        tunnels.add(gateway.name);
        scenario.note(
          `${gateway.name} has opened a channel to the replica for the other instance`,
        );
      }
    },
    onEnd: (gateway, code, signal) => {
      scenario.note(`${gateway.name} has ended: ${signal ?? code}`);
      setTimeout(() => all.launch(gateway), 500);
    },
  });
  const [other, own] = all.gateways;
  await sleep(3000);

  const broken = [];
  for (let round = 1; round <= MAX_ROUNDS && broken.length === 0; round += 1) {
    const id = `q${round}`;
    tunnels.clear();
    const asked = TROUBLE
      ? askThroughOther(scenario, replica, own.front, id)
      : ask(own.front, id);
    if (TROUBLE) {
      while ((replica.pieces.get(id) ?? 0) < KILL_AFTER_PIECES) {
        await sleep(20);
      }
      if (tunnels.has(other.name) && process.env.KILL !== '0') {
        scenario.note(`${id}: ${other.name} is killed`);
        other.child.kill('SIGKILL');
      }
    }
    const { end, head, body } = await asked;
    const [status] = head.split('\r\n');
    const hasStamp = /x-jujubecroft-response-stamp/i.test(head);
    const isWhole = body === WHOLE;
    scenario.note(
      `${id}: requester gets "${status}", ${hasStamp ? 'with' : 'without'} stamp, ${body.length} of ${WHOLE.length} bytes, channel ${end}`,
    );
    const hasLength = /content-length|transfer-encoding/i.test(head);
    if (
      / 200 /.test(status) &&
      hasStamp &&
      !hasLength &&
      end === 'closed' &&
      !isWhole
    ) {
      broken.push(
        `${id} got ${body.length} of ${WHOLE.length} bytes as a complete success`,
      );
    }
    await all.untilReady(other);
    await sleep(1500);
  }
  return broken.length > 0 ? broken.join('; ') : null;
});
