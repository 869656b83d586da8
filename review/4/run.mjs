// A replica breaks off a long answer to a safe request. The instance has begun to pass it on,
// repeats the request at another replica, and appends that one's answer to the first part.
import { createHash } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';

import { askRaw, drained } from '../lib-2/rawAnswer.mjs';
import {
  configuration,
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
      const got = await askRaw(gateways[index % 2].front, { id, path });
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
