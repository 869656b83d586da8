import { createServer } from 'node:http';

const MAX_ROWS = 500;

function textOf(req) {
  return new Promise((resolve, reject) => {
    const chunks = [];
    req.on('data', chunk => chunks.push(chunk));
    req.on('end', () => resolve(Buffer.concat(chunks).toString('utf8')));
    req.on('error', reject);
  });
}

/** In-memory stand-in for the platform's store: rows, conditional writes and the feed. */
export class Store {
  #rows = new Map();
  #version = 1;
  #waiting = new Set();
  #servers = [];

  /** Starts to listen at one more address; returns host and port. */
  async start(host) {
    const server = createServer((req, res) => {
      this.#handle(req, res).catch(() => res.destroy());
    });
    this.#servers.push(server);
    await new Promise(resolve => server.listen(0, host, resolve));
    return `${host}:${server.address().port}`;
  }

  /** Stops to listen at the address that was started first. */
  stopFirst() {
    const server = this.#servers.shift();
    server.close();
    server.closeAllConnections();
  }

  stop() {
    while (this.#servers.length > 0) {
      this.stopFirst();
    }
  }

  /** Writes a row without a condition, as the operator and replicas do. */
  put(table, key, content) {
    const value = Buffer.from(JSON.stringify(content)).toString('base64');
    this.#version += 1;
    this.#write({ table, part: '', key, value });
    this.#wake();
  }

  remove(table, key) {
    this.#version += 1;
    this.#write({ table, part: '', key, value: null });
    this.#wake();
  }

  #write({ table, part, key, value }) {
    const id = JSON.stringify([table, part, key]);
    this.#rows.set(id, { table, part, key, value, version: this.#version });
  }

  #wake() {
    [...this.#waiting].forEach(check => check());
  }

  #select(matches) {
    return [...this.#rows.values()].filter(matches);
  }

  #answer(res, status, body) {
    const stamp = { row_version: this.#version, now_ms: performance.now() };
    res.writeHead(status, { 'content-type': 'application/json' });
    res.end(JSON.stringify({ ...body, ...stamp }));
  }

  async #handle(req, res) {
    const url = new URL(req.url, 'http://store');
    const get = name => url.searchParams.get(name) ?? '';
    if (url.pathname === '/jujubecroft/rows-tx') {
      this.#transact(JSON.parse(await textOf(req)), res);
    } else if (url.pathname === '/jujubecroft/rows-get') {
      const limit = Math.min(MAX_ROWS, Number(get('limit') || MAX_ROWS));
      const rows = this.#select(
        row =>
          row.value !== null &&
          row.table === get('table') &&
          row.part === get('part') &&
          row.key >= get('from') &&
          (get('to') === '' || row.key < get('to')),
      ).sort((a, b) => (a.key < b.key ? -1 : 1));
      this.#answer(res, 200, {
        rows: rows.slice(0, limit).map(toWire),
        truncated: rows.length > limit,
      });
    } else if (url.pathname === '/jujubecroft/rows-feed') {
      this.#feed(res, get('table'), Number(get('after_revision')), {
        waitMs: Number(get('wait_ms') || 0),
      });
    } else {
      this.#answer(res, 404, {});
    }
  }

  #transact({ expected_revision = [], writes = [], remove = [] }, res) {
    const holds = expected_revision.every(
      ({ table, part, key, row_version }) => {
        const row = this.#rows.get(JSON.stringify([table, part, key]));
        return (row && row.value !== null ? row.version : 0) === row_version;
      },
    );
    if (!holds) {
      this.#answer(res, 412, { rows: [] });
      return;
    }
    this.#version += 1;
    writes.forEach(row => this.#write(row));
    remove.forEach(row => this.#write({ ...row, value: null }));
    this.#answer(res, 200, {});
    this.#wake();
  }

  #feed(res, table, after, { waitMs }) {
    const changes = () =>
      this.#select(row => row.table === table && row.version > after).sort(
        (a, b) => a.version - b.version,
      );
    let timer = null;
    const finish = () => {
      clearTimeout(timer);
      this.#waiting.delete(check);
      this.#answer(res, 200, { rows: changes().map(toWire) });
    };
    const check = () => {
      if (changes().length > 0) {
        finish();
      }
    };
    if (waitMs === 0 || changes().length > 0) {
      finish();
      return;
    }
    this.#waiting.add(check);
    timer = setTimeout(finish, waitMs);
    res.once('close', () => {
      clearTimeout(timer);
      this.#waiting.delete(check);
    });
  }
}

function toWire({ table, part, key, value, version }) {
  return {
    table,
    part,
    key,
    row_version: version,
    ...(value === null ? { tombstone: true } : { value }),
  };
}
