// A replica in a process of its own, which can be stopped and continued by signals. It takes
// few new channels at once, and its answers have no length: they end with their channel.
import { createServer } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

const [, , id, host] = process.argv;
/** Channels that may wait to be taken. */
const BACKLOG = 1;
const PIECES = 12;
const PIECE_MS = 250;

/** Reads the head of a request; null until it is whole. */
function parseHead(text) {
  const end = text.indexOf('\r\n\r\n');
  if (end < 0) {
    return null;
  }
  const [, ...lines] = text.slice(0, end).split('\r\n');
  return new Map(
    lines.map(line => {
      const at = line.indexOf(':');
      return [line.slice(0, at).toLowerCase(), line.slice(at + 1).trim()];
    }),
  );
}

async function answer(socket, headers) {
  const request = headers.get('x-jujubecroft-request-id');
  const expected = headers.get('x-jujubecroft-expect-instance');
  if (expected !== id) {
    socket.end(
      `HTTP/1.1 421 Misdirected Request\r\nX-Jujubecroft-Request-Id: ${request}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`,
    );
    return;
  }
  process.send({ kind: 'began', request });
  socket.write(
    [
      'HTTP/1.1 200 OK',
      `X-Jujubecroft-Request-Id: ${request}`,
      `X-Jujubecroft-Response-Stamp: ${id}.${request}`,
      'Content-Type: text/plain',
      'Connection: close',
      '',
      '',
    ].join('\r\n'),
  );
  for (let piece = 1; piece <= PIECES; piece += 1) {
    if (socket.destroyed) {
      process.send({ kind: 'channel gone', request, piece });
      return;
    }
    socket.write(`piece ${piece} of ${PIECES}\n`);
    process.send({ kind: 'sent', request, piece });
    await sleep(PIECE_MS);
  }
  socket.end();
  process.send({ kind: 'whole', request });
}

const server = createServer(socket => {
  let text = '';
  let hasBegun = false;
  socket.on('error', () => undefined);
  socket.on('data', chunk => {
    text += chunk.toString('latin1');
    const headers = hasBegun ? null : parseHead(text);
    if (headers) {
      hasBegun = true;
      void answer(socket, headers);
    }
  });
});
server.listen({ host, port: 0, backlog: BACKLOG }, () => {
  process.send({
    kind: 'listening',
    address: `${host}:${server.address().port}`,
  });
});
process.on('disconnect', () => process.exit());
