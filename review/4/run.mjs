// A replica breaks off a long answer to a safe request. The instance has begun to pass it on,
// repeats the request at another replica, and appends that one's answer to the first part.
import { createHash } from 'node:crypto';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import {
  configuration,
  requesterHeaders,
  route,
  runScenario,
  TROUBLE,
} from '../lib-2/scenario.mjs';

/** Size of an answer; the lines in it are numbered, so that each is at one place only. */
const LINES = 60_000;
const BODY = Buffer.from(
  Array.from(
    { length: LINES },
    (_, line) => `price list, line ${String(line).padStart(6)} of the whole\n`,
  ).join(''),
);
const PIECE_BYTES = 65_536;
/** One replica of three breaks off this share of its answers, at this part of them. */
const BROKEN_SHARE = 0.0114;
const BREAK_AT = 0.6;
const FIRST_BROKEN = 20;
const REQUESTS = 2400;
const IN_PARALLEL = 4;

const digest = body =>
  createHash('sha256').update(body).digest('hex').slice(0, 12);

/** Decodes a chunked body; null if its last chunk is missing. */
function decodeChunks(bytes) {
  const parts = [];
  for (let at = 0; at < bytes.length;) {
    const lineEnd = bytes.indexOf('\r\n', at);
    const size =
      lineEnd < 0 ? NaN : parseInt(bytes.toString('latin1', at, lineEnd), 16);
    const from = lineEnd + 2;
    if (size === 0) {
      return Buffer.concat(parts);
    }
    if (!(from + size + 2 <= bytes.length)) {
      return null;
    }
    parts.push(bytes.subarray(from, from + size));
    at = from + size + 2;
  }
  return null;
}

/**
 * Sends a request on a channel of its own, and reads the answer to the end of the channel.
 * The body is null if the answer is not whole by its own framing.
 */
function ask({ host, port }, id, path) {
  return new Promise(resolve => {
    const socket = connect(port, host);
    const chunks = [];
    const finish = () => {
      const bytes = Buffer.concat(chunks);
      const split = bytes.indexOf('\r\n\r\n');
      const head = bytes.toString('latin1', 0, Math.max(0, split));
      const rest = bytes.subarray(split + 4);
      const length = Number(/^content-length: *(\d+)/im.exec(head)?.[1] ?? NaN);
      const isChunked = /^transfer-encoding: *chunked/im.test(head);
      const byLength = rest.length >= length ? rest.subarray(0, length) : null;
      resolve({
        status: Number(head.split(' ')[1] ?? 0),
        stamp: /^x-jujubecroft-response-stamp: *(.*)$/im.exec(head)?.[1],
        body: isChunked ? decodeChunks(rest) : byLength,
        extra: Math.max(0, rest.length - length) || 0,
      });
    };
    socket.on('data', chunk => chunks.push(chunk));
    socket.once('close', finish);
    socket.on('error', () => undefined);
    const headers = Object.entries(requesterHeaders(id, 4000)).map(
      ([name, value]) => `${name}: ${value}`,
    );
    socket.write(
      [`GET ${path} HTTP/1.1`, ...headers, 'Connection: close', '', ''].join(
        '\r\n',
      ),
    );
  });
}

/** Resolves once a response takes more, or is closed. */
function drained(res) {
  return new Promise(resolve => {
    const settle = () => {
      res.off('drain', settle);
      res.off('close', settle);
      resolve();
    };
    res.once('drain', settle);
    res.once('close', settle);
  });
}

await runScenario(import.meta.dirname, async scenario => {
  const runs = new Map();
  let answers = 0;
  let faulty = null;
  const answer = async ({ req, res, id, replica }) => {
    faulty ??= replica;
    answers += replica === faulty ? 1 : 0;
    const breaksOff =
      TROUBLE &&
      replica === faulty &&
      answers % Math.round(1 / BROKEN_SHARE) === FIRST_BROKEN;
    runs.set(id, [
      ...(runs.get(id) ?? []),
      `${replica.id}${breaksOff ? ' (breaks off)' : ''}`,
    ]);
    const isChunked = req.url.includes('chunked');
    res.writeHead(200, {
      ...replica.answerHeaders(id),
      'Content-Type': 'text/plain',
      ...(isChunked ? {} : { 'Content-Length': BODY.length }),
    });
    const until = breaksOff ? Math.floor(BREAK_AT * BODY.length) : BODY.length;
    for (let at = 0; at < until; at += PIECE_BYTES) {
      if (res.destroyed) {
        return;
      }
      if (!res.write(BODY.subarray(at, Math.min(until, at + PIECE_BYTES)))) {
        await drained(res);
      }
    }
    if (breaksOff) {
      await sleep(20);
      res.socket?.resetAndDestroy();
      return;
    }
    res.end();
  };
  for (const zone of ['zone-a', 'zone-b', 'zone-c']) {
    await scenario.addReplica({ service: 'price-app', zone, answer });
  }
  scenario.store.put(
    'op',
    'config',
    configuration(
      [route('prices', 'price-app', { kind: 'safe', attempts: 2 })],
      ['price-app'],
    ),
  );
  const { gateways } = await scenario.startGateways({
    hosts: ['127.0.0.1', '127.0.0.2'],
  });
  await sleep(2000);

  scenario.note(`whole answer: ${BODY.length} bytes, sha256 ${digest(BODY)}`);
  const broken = [];
  const counts = new Map();
  let sent = 0;
  const requester = async index => {
    while (sent < REQUESTS) {
      sent += 1;
      const number = sent;
      const id = `r${number}`;
      const path = number % 2 === 0 ? '/prices/chunked' : '/prices/length';
      const got = await ask(gateways[index % 2].front, id, path);
      const kind = `${got.status}${got.body ? '' : ', not whole'}${got.extra > 0 ? ', bytes after it' : ''}`;
      counts.set(kind, (counts.get(kind) ?? 0) + 1);
      const isWrong =
        got.status === 200 &&
        got.stamp !== undefined &&
        got.body !== null &&
        !got.body.equals(BODY);
      if (isWrong) {
        broken.push(id);
      }
      if (isWrong || (runs.get(id)?.length ?? 0) > 1) {
        scenario.note(
          `${id} ${path}: ${kind}, stamp ${got.stamp}, ${got.body?.length} bytes, sha256 ${got.body && digest(got.body)}, ${got.extra} bytes after it; run at ${runs.get(id)?.join(', ')}`,
        );
      }
    }
  };
  await Promise.all(
    Array.from({ length: IN_PARALLEL }, (_, index) => requester(index)),
  );
  scenario.note(`answers: ${JSON.stringify(Object.fromEntries(counts))}`);
  return broken.length > 0
    ? `${broken.length} successes with a body that is no replica's: ${broken.join(', ')}`
    : null;
});
