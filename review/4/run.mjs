// A replica answers streams without a length. The instance that passes them on is killed: the
// streams of its requesters end early, and look complete.
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import {
  configuration,
  route,
  runScenario,
  TROUBLE,
} from '../lib-2/scenario.mjs';

const EVENTS = 20;
const EVENT_MS = 100;
/** Streams that run at once, at two instances. */
const STREAMS = 12;
/** Time after which the process is killed, in milliseconds. */
const KILL_AFTER_MS = 750;
const RESTART_MS = 500;

const eventOf = number =>
  `id: ${number}\ndata: event ${number} of ${EVENTS}\n\n`;
/** The whole answer of a replica. */
const WHOLE = Array.from({ length: EVENTS }, (_, index) =>
  eventOf(index + 1),
).join('');

/** Answers with a stream of events that has neither a length nor chunks. */
async function answerStream({ res, id, replica }) {
  res.useChunkedEncodingByDefault = false;
  res.shouldKeepAlive = false;
  res.writeHead(200, {
    ...replica.answerHeaders(id),
    'Content-Type': 'text/event-stream',
  });
  for (let number = 1; number <= EVENTS; number += 1) {
    if (res.destroyed) {
      return;
    }
    res.write(eventOf(number));
    await sleep(EVENT_MS);
  }
  res.end();
}

/** Sends a request on a channel of its own, and reads the answer to the end of the channel. */
function ask({ host, port }, id) {
  return new Promise(resolve => {
    const socket = connect(port, host);
    const chunks = [];
    const finish = end => {
      const text = Buffer.concat(chunks).toString('latin1');
      const split = text.indexOf('\r\n\r\n');
      resolve({
        id,
        end,
        head: text.slice(0, split),
        body: text.slice(split + 4),
      });
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
        'POST /draft/x HTTP/1.1',
        'Host: a.example',
        `X-Jujubecroft-Request-Id: ${id}`,
        'X-Jujubecroft-Deadline-Ms: 12000',
        'Authorization: Token key-1',
        'Content-Length: 0',
        '',
        '',
      ].join('\r\n'),
    );
  });
}

await runScenario(import.meta.dirname, async scenario => {
  for (const zone of ['zone-a', 'zone-b', 'zone-c']) {
    await scenario.addReplica({
      service: 'drafts',
      zone,
      slots: 64,
      answer: answerStream,
    });
  }
  scenario.store.put(
    'op',
    'config',
    configuration(
      [
        route('draft', 'drafts', {
          kind: 'streaming',
          timeout_ms: 12_000,
          target_latency_ms: 2000,
          target_gap_ms: 1000,
        }),
      ],
      ['drafts'],
    ),
  );
  const all = await scenario.startGateways({
    hosts: ['127.0.0.1', '127.0.0.2'],
    onEnd: (gateway, code, signal) => {
      scenario.note(`${gateway.name} has ended: ${signal ?? code}`);
      setTimeout(() => all.launch(gateway), RESTART_MS);
    },
  });
  await sleep(2000);

  const streams = Array.from({ length: STREAMS }, (_, index) => {
    const { front, name } = all.gateways[index % 2];
    return ask(front, `d${index}`).then(answer => ({ ...answer, name }));
  });
  await sleep(KILL_AFTER_MS);
  if (TROUBLE) {
    const [killed] = all.gateways;
    scenario.note(`${killed.name} is killed`);
    killed.child.kill('SIGKILL');
  }

  const broken = [];
  (await Promise.all(streams)).forEach(({ id, name, end, head, body }) => {
    const [status] = head.split('\r\n');
    const events = body.split('\n\n').length - 1;
    const hasStamp = /x-jujubecroft-response-stamp/i.test(head);
    const hasFraming = /content-length|transfer-encoding/i.test(head);
    const looksComplete =
      / 200 /.test(status) && hasStamp && !hasFraming && end === 'closed';
    scenario.note(
      `${id} at ${name}: "${status}", ${hasFraming ? 'framed' : 'without length and chunks'}, ${events} of ${EVENTS} events, channel ${end}`,
    );
    if (looksComplete && body !== WHOLE) {
      broken.push(id);
    }
  });
  return broken.length > 0
    ? `${broken.length} streams ended early and look complete: ${broken.join(', ')}`
    : null;
});
