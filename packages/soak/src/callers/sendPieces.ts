import type { Socket } from 'node:net';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import type { WorkOrder } from '../answers.js';
import type { SentRequest, SoakKind } from '../evidence.js';
import { soakNow } from '../soakNow.js';
import type { CallerContext, GatewayEndpoint } from './SoakCaller.js';
import { CALLER_HOST } from './SoakCaller.js';

const MEAN_INTERVAL_MS = 250;
const TIME_LIMIT_MS = 5000;
/** Work that outlasts the time limit for the head of the next request. */
const MIN_LONG_WORK_MS = 2800;
const LONG_WORK_RANGE_MS = 1000;
const MAX_STALL_MS = 1500;
/** Maximum pause between a request and the beginning of the next one. */
const MAX_PAUSE_MS = 300;
/** Share of the stalled requests whose rest is sent. */
const RESUMED_SHARE = 0.6;
/** Share of the requests whose connection is reset before the answer. */
const BROKEN_SHARE = 0.2;
/** Time after which callers close the connection of a request without an answer. */
const MAX_OPEN_MS = TIME_LIMIT_MS + 1500;
const FINAL_HEAD = /HTTP\/1\.1 ([2-9]\d\d)[^\r\n]*\r\n((?:[^\r\n]+\r\n)*)\r\n/;
/** Bytes that callers send right after a request. */
const BYTES_AFTER = [
  'POST /unsafe/x HTTP/1.1\r\nHost: a.exa',
  'GET /sa',
  '\u0001\u0002 no request \r\n\r\n',
];

/** What a caller sends on a connection of its own. */
interface PlannedPieces {
  readonly work: WorkOrder;
  /** Returns the pieces of the bytes of a request, with a pause after each. */
  readonly piecesOf: (
    bytes: string,
  ) => readonly { readonly text: string; readonly pauseMs: number }[];
}

/** Draws what a caller sends on a connection. */
export type DrawPieces = (random: () => number) => PlannedPieces;

const longWork = (random: () => number): WorkOrder => ({
  workMs: MIN_LONG_WORK_MS + LONG_WORK_RANGE_MS * random(),
  events: 0,
  gapMs: 0,
});

/** A whole request and, at once, the beginning of another one or bytes that are none. */
export const drawEarly: DrawPieces = random => {
  const after = BYTES_AFTER[Math.floor(random() * BYTES_AFTER.length)] ?? '';
  return {
    work: longWork(random),
    piecesOf: bytes => [{ text: bytes + after, pauseMs: 0 }],
  };
};

/**
 * A request in two parts, the second of which may never be sent, and the beginning of
 * another request in two parts.
 */
export const drawStalled: DrawPieces = random => {
  const cut = random();
  const pauseMs = MAX_STALL_MS * random();
  const isResumed = random() < RESUMED_SHARE;
  return {
    work: longWork(random),
    piecesOf: bytes => {
      const at = Math.floor(cut * bytes.length);
      const rest = [
        { text: bytes.slice(at), pauseMs: MAX_PAUSE_MS * random() },
        { text: 'POST /unsafe/x HTTP/1.1\r\n', pauseMs: 0 },
        { text: 'Host: a.exa', pauseMs: 0 },
      ];
      return [
        { text: bytes.slice(0, at), pauseMs },
        ...(isResumed ? rest : []),
      ];
    },
  };
};

function drawRequest(
  { nextId, random }: CallerContext,
  { gateway, incarnation }: GatewayEndpoint,
  work: WorkOrder,
): SentRequest {
  const kind: SoakKind = random() < 0.5 ? 'unsafe' : 'stream';
  return {
    id: nextId(),
    kind,
    gateway,
    incarnation,
    sentMs: soakNow(),
    timeLimitMs: TIME_LIMIT_MS,
    target: `/${kind}/early`,
    body: JSON.stringify(kind === 'stream' ? { ...work, events: 1 } : work),
    organisation: 'org-1',
    version: null,
    continues: null,
  };
}

function bytesOf(
  { environment, keyOf }: CallerContext,
  { id, target, body, timeLimitMs, organisation }: SentRequest,
): string {
  const headers = {
    ...environment.callerHeaders({
      id,
      host: CALLER_HOST,
      key: keyOf(organisation),
      timeLimitMs,
      parts: [],
      lastEvent: null,
      firstRequest: null,
    }),
    'content-length': String(body.length),
  };
  const lines = Object.entries(headers).map(
    ([name, value]) => `${name}: ${value}\r\n`,
  );
  return `POST ${target} HTTP/1.1\r\n${lines.join('')}\r\n${body}`;
}

/** Reads the status and the stamp of the first final response. */
function readHead(
  received: string,
  { environment }: CallerContext,
): { readonly status: number | null; readonly stamp: string | null } {
  const [, status, lines = ''] = FINAL_HEAD.exec(received) ?? [];
  const headers = lines
    .split('\r\n')
    .map(line => line.split(': '))
    .map(([name = '', value = '']) => [name.toLowerCase(), value]);
  return {
    status: status === undefined ? null : Number(status),
    stamp: environment.readStamp(
      Object.fromEntries(headers) as Record<string, string>,
    ),
  };
}

/** Resolves when a head has been received, the connection has closed, or time is up. */
async function awaitHead(
  socket: Socket,
  isReceived: () => boolean,
  maxMs: number,
): Promise<void> {
  await new Promise<void>(resolve => {
    const timer = setTimeout(resolve, maxMs);
    const done = (): void => {
      clearTimeout(timer);
      resolve();
    };
    socket.on('data', () => {
      if (isReceived()) {
        done();
      }
    });
    socket.once('close', done);
    if (isReceived() || socket.destroyed) {
      done();
    }
  });
}

/** Sends one request and leaves as soon as it has the head of the response. */
async function sendOne(
  context: CallerContext,
  endpoint: GatewayEndpoint,
  draw: DrawPieces,
): Promise<void> {
  const { random } = context;
  const { work, piecesOf } = draw(random);
  const breaksOff = random() < BROKEN_SHARE;
  const maxMs = breaksOff ? MAX_OPEN_MS * random() : MAX_OPEN_MS;
  const request = drawRequest(context, endpoint, work);
  context.onSent(request);
  const [host = '', port = ''] = endpoint.address.split(':');
  const socket = connect(Number(port), host);
  let received = '';
  // The gateway may be gone, or close the connection at any time.
  socket.on('error', () => undefined);
  socket.on('data', chunk => {
    received += chunk.toString('latin1');
  });
  for (const { text, pauseMs } of piecesOf(bytesOf(context, request))) {
    socket.write(text, 'latin1');
    await sleep(pauseMs);
  }
  await awaitHead(socket, () => FINAL_HEAD.test(received), maxMs);
  const head = readHead(received, context);
  const wasClosed = socket.destroyed && head.status === null;
  socket.resetAndDestroy();
  const endedMs = soakNow();
  context.onResponse({
    id: request.id,
    endedMs,
    ...head,
    body: '',
    whole: false,
    leftMs: wasClosed ? null : endedMs,
  });
}

/**
 * Sends requests in pieces, each on a connection of its own, to gateways chosen at random.
 *
 * @param context - shared by all callers
 * @param forMs - duration; returns when the last request has ended
 * @param draw - draws what is sent on a connection
 */
export async function sendPieces(
  context: CallerContext,
  forMs: number,
  draw: DrawPieces,
): Promise<void> {
  const untilMs = soakNow() + forMs;
  const ended: Promise<void>[] = [];
  while (soakNow() < untilMs) {
    const endpoint = context.chooseGateway();
    if (endpoint) {
      ended.push(sendOne(context, endpoint, draw));
    }
    await sleep(2 * MEAN_INTERVAL_MS * context.random());
  }
  await Promise.all(ended);
}
