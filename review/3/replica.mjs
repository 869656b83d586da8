// A replica of a plain service in a process of its own. Its answers have no length and
// end with their channel; each is written in pieces. Its queue of new channels is short.
import { createServer } from 'node:http';

const [, , id, host, pieces, everyMs] = process.argv;
const BACKLOG = 1;

/** Text of one piece of the answer to a request. */
function pieceOf(request, number) {
  return `${request} line ${number}\n`;
}

const server = createServer((req, res) => {
  const request = req.headers['x-jujubecroft-request-id'] ?? '';
  const expected = req.headers['x-jujubecroft-expect-instance'];
  req.resume();
  if (req.url === '/health') {
    res.writeHead(200, { 'X-Jujubecroft-Instance-Id': id });
    res.end();
    return;
  }
  if (expected !== undefined && expected !== id) {
    res.writeHead(421, {
      'X-Jujubecroft-Request-Id': request,
      'X-Jujubecroft-Not-Executed': '1',
    });
    res.end();
    return;
  }
  process.send({ type: 'runs', request });
  res.useChunkedEncodingByDefault = false;
  res.shouldKeepAlive = false;
  res.writeHead(200, {
    'X-Jujubecroft-Request-Id': request,
    'X-Jujubecroft-Response-Stamp': `${id}.${request}`,
    'Content-Type': 'text/plain',
  });
  let number = 0;
  const timer = setInterval(() => {
    number += 1;
    res.write(pieceOf(request, number));
    if (number === Number(pieces)) {
      clearInterval(timer);
      res.end();
    }
  }, Number(everyMs));
  res.once('close', () => {
    clearInterval(timer);
    process.send({ type: 'closed', request, pieces: number });
  });
});
process.on('disconnect', () => process.exit());
server.listen({ host, port: 0, backlog: BACKLOG }, () => {
  process.send({ type: 'listens', port: server.address().port });
});
