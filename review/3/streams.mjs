// A gateway's process is killed while it passes on streams whose replica states no
// length: their channels end regularly, as if the streams were complete.
import { request } from 'node:http';
import { createServer } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import { configuration, startCluster } from '../lib/cluster.mjs';
import { runCase } from '../lib/run.mjs';

const EVENTS = 30;
const EVERY_MS = 80;

function eventOf(id, n) {
  return `id: ${n}\ndata: ${id} piece ${n} of ${EVENTS}\n\n`;
}

function readStream(front, id) {
  const [host, port] = front.split(':');
  return new Promise(resolve => {
    let body = '';
    const req = request(
      {
        agent: false,
        host,
        port,
        method: 'POST',
        path: '/tell/a',
        headers: {
          Host: 'a.example',
          'X-Jujubecroft-Request-Id': id,
          'X-Jujubecroft-Deadline-Ms': '8000',
          'Content-Length': 2,
        },
      },
      res => {
        res.on('data', part => {
          body += part;
        });
        res.once('end', () =>
          resolve({
            id,
            status: res.statusCode,
            headers: res.headers,
            body,
            how: res.complete ? 'regular end' : 'broken off',
          }),
        );
        res.once('error', err =>
          resolve({
            id,
            status: res.statusCode,
            headers: res.headers,
            body,
            how: `broken off (${err.code})`,
          }),
        );
      },
    );
    req.once('error', err =>
      resolve({
        id,
        status: 0,
        headers: {},
        body,
        how: `no answer (${err.code})`,
      }),
    );
    req.end('hi');
  });
}

await runCase(
  import.meta.dirname,
  async ({ record, trouble, folder, atEnd }) => {
    const { gateways, store, network } = await startCluster({
      gateways: 3,
      replicas: [],
      cfg: configuration(
        7,
        [
          {
            name: 'r-tell',
            prefix: '/tell/',
            kind: 'streaming',
            resumable: false,
            service: 'narrator',
            timeout_ms: 8000,
            target_gap_ms: 1000,
          },
        ],
        [{ name: 'narrator' }],
      ),
      folder,
      atEnd,
    });
    const server = createServer((req, res) => {
      const id = req.headers['x-jujubecroft-request-id'];
      req.resume();
      res.useChunkedEncodingByDefault = false;
      res.shouldKeepAlive = false;
      res.writeHead(200, {
        'X-Jujubecroft-Request-Id': id,
        'X-Jujubecroft-Response-Stamp': `i-1.${id}`,
        'Content-Type': 'text/event-stream',
      });
      let n = 0;
      const t = setInterval(() => {
        n += 1;
        res.write(eventOf(id, n));
        if (n === EVENTS) {
          clearInterval(t);
          res.end();
        }
      }, EVERY_MS);
      res.once('close', () => clearInterval(t));
    });
    await new Promise(r => server.listen(0, `${network}.101`, r));
    atEnd(() => server.closeAllConnections());
    let sequence = 0;
    const beat = () =>
      store.put('servers', 'i-1', {
        service: 'narrator',
        address: `${network}.101:${server.address().port}`,
        zone: 'z-1',
        version: 'v1',
        slots: 32,
        state: 'ready',
        cold_remaining_ms: 0,
        sequence: (sequence += 1),
      });
    beat();
    const beats = setInterval(beat, 1200);
    atEnd(() => clearInterval(beats));
    await sleep(2500);
    const [killed] = gateways;
    const reading = Array.from({ length: 8 }, (_, i) =>
      readStream(killed.front, `q${i + 1}`),
    );
    await sleep(1200);
    if (trouble) {
      await killed.kill();
      record.note('front-1 is killed');
    }
    const ends = await Promise.all(reading);
    const breaches = [];
    ends.forEach(({ id, status, headers, body, how }) => {
      const whole = Array.from({ length: EVENTS }, (_, i) =>
        eventOf(id, i + 1),
      ).join('');
      record.note(
        `${id}: ${status}, ${JSON.stringify(headers)}, ${how}, ${body.length} of ${whole.length} bytes, ends with ${JSON.stringify(body.slice(-30))}`,
      );
      if (status === 200 && how === 'regular end' && body !== whole)
        breaches.push(
          `ORDER: ${id} ended as complete after ${body.length} of ${whole.length} bytes`,
        );
    });
    return breaches;
  },
);
