// Stand-in for a replica of a plain service, on raw connections: what it sends can be
// any bytes, in any order.
import { createServer } from 'node:net';

const HEAD_END = Buffer.from('\r\n\r\n');

/** Reads requests with a length from a connection, one after the other. */
function readRequests(socket, onRequest) {
  let bytes = Buffer.alloc(0);
  socket.on('data', chunk => {
    bytes = Buffer.concat([bytes, chunk]);
    for (;;) {
      const end = bytes.indexOf(HEAD_END);
      if (end === -1) {
        return;
      }
      const [first, ...lines] = bytes
        .subarray(0, end)
        .toString('latin1')
        .split('\r\n');
      const headers = Object.fromEntries(
        lines.map(line => {
          const colon = line.indexOf(':');
          const name = line.slice(0, colon).toLowerCase();
          return [name, line.slice(colon + 1).trim()];
        }),
      );
      const length = Number(headers['content-length'] ?? 0);
      const bodyAt = end + HEAD_END.length;
      if (bytes.length < bodyAt + length) {
        return;
      }
      const body = bytes.subarray(bodyAt, bodyAt + length).toString('latin1');
      bytes = bytes.subarray(bodyAt + length);
      const [method, target] = first.split(' ');
      onRequest({ method, target, headers, body });
    }
  });
}

/** Formats a response with a length. */
export function formatResponse(status, headers, body = '') {
  const lines = Object.entries({ ...headers, 'Content-Length': body.length })
    .map(([name, value]) => `${name}: ${value}\r\n`)
    .join('');
  return Buffer.from(`HTTP/1.1 ${status} -\r\n${lines}\r\n${body}`, 'latin1');
}

/** Formats a response in chunks, as a list of the head, the chunks and the last chunk. */
function formatChunks(status, headers, body, size) {
  const chunked = { ...headers, 'Transfer-Encoding': 'chunked' };
  const lines = Object.entries(chunked)
    .map(([name, value]) => `${name}: ${value}\r\n`)
    .join('');
  const parts = [`HTTP/1.1 ${status} -\r\n${lines}\r\n`];
  for (let at = 0; at < body.length; at += size) {
    const part = body.slice(at, at + size);
    parts.push(`${part.length.toString(16)}\r\n${part}\r\n`);
  }
  return [...parts, '0\r\n\r\n'].map(part => Buffer.from(part, 'latin1'));
}

/** A replica with slots and a short queue. */
export class Replica {
  #server;
  #sockets = new Set();
  #running = 0;
  #queue = [];
  /** Whether the replica has crashed and not started again. */
  isDown = false;
  /** Called with each request, before anything else; returns true if it has dealt with it. */
  onArrival = () => false;
  /** Called when the replica begins to work on a request. */
  onRun = () => undefined;
  /** Body of the answer to a request. */
  bodyOf = (_, id) => `answer to ${id}`;
  /** Bytes that are sent in place of a response. */
  spoil = bytes => bytes;
  /** Called with the bytes of each complete answer, when they have been written. */
  onAnswered = () => undefined;

  constructor({
    id,
    service,
    zone = 'z-1',
    slots = 6,
    queue = 24,
    workMs,
    piece = null,
  }) {
    Object.assign(this, { id, service, zone, slots, queue, workMs, piece });
    this.#server = createServer(socket => {
      this.#sockets.add(socket);
      socket.setNoDelay(true);
      socket.on('error', () => undefined);
      socket.once('close', () => this.#sockets.delete(socket));
      readRequests(socket, req => this.#handle(req, socket));
    });
  }

  async start(host) {
    await new Promise(resolve => this.#server.listen(0, host, resolve));
    this.address = `${host}:${this.#server.address().port}`;
    return this.address;
  }

  stop() {
    this.#server.close();
    this.#sockets.forEach(socket => socket.destroy());
  }

  /** Ends as a crashed process does: all connections are reset, and none is accepted. */
  async crash() {
    this.isDown = true;
    this.#running = 0;
    this.#queue = [];
    const closed = new Promise(resolve => this.#server.close(resolve));
    this.#sockets.forEach(socket => socket.resetAndDestroy());
    await closed;
  }

  /** Starts again at the same address, as a new lifetime. */
  async restart(id) {
    this.id = id;
    const [host, port] = this.address.split(':');
    await new Promise(resolve => this.#server.listen(port, host, resolve));
    this.isDown = false;
  }

  /** The entry under which it registers itself in the store. */
  entry(sequence = 1, state = 'ready') {
    const { service, address, zone, slots } = this;
    return {
      service,
      address,
      zone,
      version: 'v1',
      slots,
      state,
      cold_remaining_ms: 0,
      sequence,
    };
  }

  get load() {
    return `${this.#running},${this.#queue.length},${this.slots}`;
  }

  #handle(req, socket) {
    const id = req.headers['x-jujubecroft-request-id'] ?? '';
    const expected = req.headers['x-jujubecroft-expect-instance'];
    if (req.target === '/health') {
      socket.write(
        formatResponse(200, { 'X-Jujubecroft-Instance-Id': this.id }),
      );
      return;
    }
    if (this.onArrival(req, socket)) {
      return;
    }
    if (expected !== undefined && expected !== this.id) {
      this.#answer(req, socket, 421, this.#notRun(id), '');
      return;
    }
    if (this.#running >= this.slots && this.#queue.length >= this.queue) {
      this.#answer(req, socket, 503, this.#notRun(id), '');
      return;
    }
    if (this.#running >= this.slots) {
      this.#queue.push(() => this.#run(req, id, socket));
    } else {
      this.#run(req, id, socket);
    }
  }

  #notRun(id) {
    return {
      'X-Jujubecroft-Request-Id': id,
      'X-Jujubecroft-Not-Executed': '1',
      'X-Jujubecroft-Instance-Load': this.load,
    };
  }

  #run(req, id, socket) {
    if (socket.destroyed) {
      // A replica drops a request whose connection has closed while it waited.
      this.#queue.shift()?.();
      return;
    }
    this.#running += 1;
    const lifetime = this.id;
    this.onRun(req, id);
    setTimeout(() => {
      if (this.isDown || this.id !== lifetime) {
        return;
      }
      this.#running -= 1;
      const headers = {
        'X-Jujubecroft-Request-Id': id,
        'X-Jujubecroft-Response-Stamp': `${this.id}.${id}`,
        'X-Jujubecroft-Instance-Load': this.load,
      };
      this.#answer(req, socket, 200, headers, this.bodyOf(req, id));
      this.#queue.shift()?.();
    }, this.workMs());
  }

  #answer(req, socket, status, headers, body) {
    if (socket.destroyed) {
      return;
    }
    const kept = { ...headers, 'Keep-Alive': 'timeout=15' };
    if (this.piece && body.length > this.piece.bytes) {
      const { bytes, everyMs } = this.piece;
      this.#writeSlowly(
        socket,
        formatChunks(status, kept, body, bytes),
        everyMs,
      );
      return;
    }
    const bytes = this.spoil(formatResponse(status, kept, body));
    socket.write(bytes);
    this.onAnswered(req, socket, status, bytes);
  }

  #writeSlowly(socket, parts, everyMs) {
    const timer = setInterval(() => {
      const part = parts.shift();
      if (part === undefined || socket.destroyed) {
        clearInterval(timer);
        return;
      }
      socket.write(part);
    }, everyMs);
  }
}
