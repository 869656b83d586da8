// Stand-in for the platform's store, with the calls of PROTOCOL.md that gateways make.
import { createServer } from 'node:http';
import { json } from 'node:stream/consumers';

const MAX_WAIT_MS = 30_000;

function send(res, status, body) {
  res.writeHead(status, { 'content-type': 'application/json' });
  res.end(JSON.stringify(body));
}

/** Rows in tables, with one counter for all versions and a complete history. */
export class Store {
  #rows = new Map();
  #changes = [];
  #version = 0;
  #waiting = new Set();
  #server = createServer((req, res) => {
    this.#handle(req, res).catch(() => res.destroy());
  });
  /** Called before each call; returns true if it has dealt with the call. */
  intercept = () => false;

  async start(host, port) {
    await new Promise(resolve => this.#server.listen(port, host, resolve));
    return `${host}:${this.#server.address().port}`;
  }

  stop() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Writes a row as the operator or a replica does; `null` removes it. */
  put(table, key, content, part = '') {
    const value =
      content === null
        ? null
        : Buffer.from(JSON.stringify(content)).toString('base64');
    this.#apply([{ table, part, key, value }]);
    return this.#version;
  }

  /** Parsed content of a row; null if there is none. */
  get(table, key, part = '') {
    const row = this.#rows.get(`${table}\n${part}\n${key}`);
    return row?.value
      ? JSON.parse(Buffer.from(row.value, 'base64').toString())
      : null;
  }

  #apply(writes) {
    this.#version += 1;
    writes.forEach(({ table, part = '', key, value }) => {
      const row = { table, part, key, value, row_version: this.#version };
      this.#rows.set(`${table}\n${part}\n${key}`, row);
      this.#changes.push(row);
    });
    [...this.#waiting].forEach(check => check());
  }

  get #stamp() {
    return {
      row_version: this.#version,
      now_ms: Math.floor(performance.now()),
    };
  }

  async #handle(req, res) {
    const url = new URL(req.url, 'http://store');
    const body = req.method === 'POST' ? await json(req) : null;
    if (await this.intercept(url, req, res, body)) {
      return;
    }
    const calls = {
      '/jujubecroft/rows-tx': () => this.#transact(body, res),
      '/jujubecroft/rows-get': () => this.#read(url.searchParams, res),
      '/jujubecroft/rows-feed': () => this.#feed(url.searchParams, res),
    };
    const call = calls[url.pathname];
    if (call) {
      call();
    } else {
      send(res, 404, {});
    }
  }

  #transact({ expected_revision = [], writes = [], remove = [] }, res) {
    const current = expected_revision.map(({ table, part = '', key }) =>
      this.#rows.get(`${table}\n${part}\n${key}`),
    );
    const versionOf = row => (row?.value ? row.row_version : 0);
    const holds = expected_revision.every(
      ({ row_version }, place) => versionOf(current[place]) === row_version,
    );
    if (!holds) {
      const rows = current.filter(row => row?.value);
      send(res, 412, { rows, ...this.#stamp });
      return;
    }
    this.#apply([...writes, ...remove.map(row => ({ ...row, value: null }))]);
    send(res, 200, this.#stamp);
  }

  #read(query, res) {
    const table = query.get('table');
    const part = query.get('part') ?? '';
    const from = query.get('from') ?? '';
    const to = query.get('to');
    const limit = Math.min(500, Number(query.get('limit') ?? 500));
    const rows = [...this.#rows.values()]
      .filter(
        row =>
          row.value !== null &&
          row.table === table &&
          row.part === part &&
          row.key >= from &&
          (to === null || row.key < to),
      )
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    send(res, 200, {
      rows: rows.slice(0, limit),
      truncated: rows.length > limit,
      ...this.#stamp,
    });
  }

  #feed(query, res) {
    const table = query.get('table');
    const after = Number(query.get('after_revision'));
    const waitMs = Math.min(MAX_WAIT_MS, Number(query.get('wait_ms') ?? 0));
    const changed = () => {
      const newest = new Map();
      this.#changes
        .filter(row => row.table === table && row.row_version > after)
        .forEach(row => {
          newest.delete(`${row.part}\n${row.key}`);
          newest.set(`${row.part}\n${row.key}`, row);
        });
      return [...newest.values()].map(({ value, ...row }) =>
        value === null ? { ...row, tombstone: true } : { ...row, value },
      );
    };
    let timer = null;
    const answer = isLast => {
      const rows = changed();
      if (rows.length === 0 && !isLast) {
        return;
      }
      clearTimeout(timer);
      this.#waiting.delete(check);
      send(res, 200, { rows, ...this.#stamp });
    };
    const check = () => answer(false);
    this.#waiting.add(check);
    res.once('close', () => {
      clearTimeout(timer);
      this.#waiting.delete(check);
    });
    timer = setTimeout(() => answer(true), waitMs);
    check();
  }
}
