import { connect } from 'node:net';

import { requesterHeaders } from './scenario.mjs';

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

function parseAnswer(bytes) {
  const split = bytes.indexOf('\r\n\r\n');
  const head = bytes.toString('latin1', 0, Math.max(0, split));
  const rest = bytes.subarray(split + 4);
  const length = Number(/^content-length: *(\d+)/im.exec(head)?.[1] ?? NaN);
  const isChunked = /^transfer-encoding: *chunked/im.test(head);
  const byLength = rest.length >= length ? rest.subarray(0, length) : null;
  return {
    status: Number(head.split(' ')[1] ?? 0),
    stamp: /^x-jujubecroft-response-stamp: *(.*)$/im.exec(head)?.[1],
    body: isChunked ? decodeChunks(rest) : byLength,
    extra: Math.max(0, rest.length - length) || 0,
  };
}

/**
 * Sends a GET request on a channel of its own, and reads to the end of the channel.
 *
 * @param front - host and port of the gateway
 * @param options - id, path and time limit of the request, and `onRead`, which is called
 *   with the channel and the number of bytes read so far
 * @returns status, stamp, body, and the number of bytes after it; the body is null if the
 *   answer has a length or chunks and is not whole by them
 */
export function askRaw(
  { host, port },
  { id, path, deadlineMs = 4000, onRead },
) {
  return new Promise(resolve => {
    const socket = connect(port, host);
    const chunks = [];
    let bytes = 0;
    socket.on('data', chunk => {
      chunks.push(chunk);
      bytes += chunk.length;
      onRead?.(socket, bytes);
    });
    socket.once('close', () => resolve(parseAnswer(Buffer.concat(chunks))));
    socket.on('error', () => undefined);
    const headers = Object.entries(requesterHeaders(id, deadlineMs)).map(
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
export function drained(res) {
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
