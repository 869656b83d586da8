import type { Socket } from 'node:net';
import { writeWithoutEnd } from '@jujubecroft/stand-ins/util';

/** Status lines that are not those of a final response, or not HTTP. */
const INVALID_STATUS_LINES = [
  'HTTP/1.1 020 OK',
  'HTTP/1.1 000 OK',
  'HTTP/1.1 101 OK',
  'HTTP/1.1 600 OK',
  'HTTP/1.1 2O0 OK',
  'HTTP/1,1 200 OK',
];
const PADDING = 'p'.repeat(500);

/** @returns an HTTP message in raw form; its body ends with its length */
export function rawMessage(
  statusLine: string,
  headers: Readonly<Record<string, string>>,
  body = '',
): string {
  const lines = Object.entries({
    ...headers,
    'content-length': String(body.length),
  }).map(([name, value]) => `${name}: ${value}\r\n`);
  return `${statusLine}\r\n${lines.join('')}\r\n${body}`;
}

/**
 * Picks a status line that ends an attempt.
 *
 * @param random - returns a number from 0 to 1
 */
export function invalidStatusLine(random: () => number): string {
  const index = Math.floor(random() * INVALID_STATUS_LINES.length);
  return INVALID_STATUS_LINES[index] ?? '';
}

/** Beginning of a response, and bytes that are sent after it again and again. */
interface EndlessResponse {
  readonly begin: string;
  readonly repeated: string;
}

function endlessResponses(
  headers: Readonly<Record<string, string>>,
): readonly EndlessResponse[] {
  const lines = Object.entries(headers).map(
    ([name, value]) => `${name}: ${value}\r\n`,
  );
  const head = (status: number, more = ''): string =>
    `HTTP/1.1 ${status} Status\r\n${lines.join('')}${more}\r\n`;
  const chunked = 'transfer-encoding: chunked\r\n';
  return [
    { begin: '', repeated: '\r\n' },
    { begin: '', repeated: 'HTTP/1.1 100 Continue\r\n\r\n' },
    {
      begin: '',
      repeated: `HTTP/1.1 103 Early Hints\r\nlink: ${PADDING}\r\n\r\n`,
    },
    { begin: head(200, chunked), repeated: '0' },
    { begin: `${head(200, chunked)}0\r\nx-trailer:`, repeated: ' ' },
    { begin: head(500), repeated: 'error' },
    { begin: head(500, chunked), repeated: `5\r\nerror\r\n` },
  ];
}

/**
 * Sends a response that never ends, until the connection closes.
 *
 * @param socket - connection of the request
 * @param headers - headers of a response to the request
 * @param random - selects the kind of response
 * @param onClosed - called once the connection is closed
 */
export function sendEndlessResponse(
  socket: Socket,
  headers: Readonly<Record<string, string>>,
  random: () => number,
  onClosed: () => void,
): void {
  const kinds = endlessResponses(headers);
  const kind = kinds[Math.floor(random() * kinds.length)];
  if (!kind) {
    return;
  }
  socket.once('close', onClosed);
  socket.write(kind.begin);
  writeWithoutEnd(socket, kind.repeated);
}
