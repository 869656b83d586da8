// Stand-in for the platform's metadata store: rows, conditional writes and a change feed.
import { createServer } from 'node:http';

const encode = value => Buffer.from(JSON.stringify(value)).toString('base64');

export class Store {
  #rows = new Map();
  #history = [];
  #version = 1;
  #waiters = new Set();
  #startedMs = performance.now();
  #server = createServer((req, res) => this.#handle(req, res));
  /** Called before a call is handled; returns true if it has dealt with the call. */
  intercept = () => false;

  async listen(host, port) {
    await new Promise(resolve => this.#server.listen(port, host, resolve));
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  get nowMs() {
    return Math.round(performance.now() - this.#startedMs) + 1000;
  }

  put(table, key, content) {
    this.#apply([{ table, part: '', key, value: encode(content) }], []);
  }

  drop(table, key) {
    this.#apply([], [{ table, part: '', key }]);
  }

  #apply(writes, removed) {
    this.#version += 1;
    for (const { table, part = '', key, value } of writes) {
      const row = { table, part, key, value, row_version: this.#version };
      this.#rows.set(`${table}/${part}/${key}`, row);
      this.#history.push(row);
    }
    for (const { table, part = '', key } of removed) {
      if (this.#rows.delete(`${table}/${part}/${key}`)) {
        this.#history.push({
          table,
          part,
          key,
          tombstone: true,
          row_version: this.#version,
        });
      }
    }
    for (const wake of [...this.#waiters]) {
      wake();
    }
  }

  #changes(table, after) {
    const newest = new Map();
    for (const row of this.#history) {
      if (row.table === table && row.row_version > after) {
        newest.delete(row.key);
        newest.set(row.key, row);
      }
    }
    return [...newest.values()];
  }

  #reply(res, status, fields) {
    const body = JSON.stringify({
      ...fields,
      row_version: this.#version,
      now_ms: this.nowMs,
    });
    res.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
    });
    res.end(body);
  }

  async #handle(req, res) {
    const chunks = [];
    for await (const chunk of req) {
      chunks.push(chunk);
    }
    const url = new URL(req.url, 'http://store');
    if (this.intercept(req, res, url)) {
      return;
    }
    const query = url.searchParams;
    if (url.pathname === '/jujubecroft/rows-get') {
      const from = query.get('from') ?? '';
      const rows = [...this.#rows.values()]
        .filter(row => row.table === query.get('table') && row.key >= from)
        .sort((a, b) => (a.key < b.key ? -1 : 1));
      this.#reply(res, 200, { rows, truncated: false });
    } else if (url.pathname === '/jujubecroft/rows-feed') {
      this.#feed(query, res);
    } else if (url.pathname === '/jujubecroft/rows-tx') {
      this.#transact(JSON.parse(Buffer.concat(chunks).toString()), res);
    } else {
      this.#reply(res, 404, {});
    }
  }

  #feed(query, res) {
    const table = query.get('table');
    const after = Number(query.get('after_revision'));
    const changed = this.#changes(table, after);
    if (changed.length > 0 || Number(query.get('wait_ms')) === 0) {
      this.#reply(res, 200, { rows: changed });
      return;
    }
    const answer = () => {
      const rows = this.#changes(table, after);
      if (rows.length > 0) {
        finish(rows);
      }
    };
    const finish = rows => {
      clearTimeout(timer);
      this.#waiters.delete(answer);
      this.#reply(res, 200, { rows });
    };
    const timer = setTimeout(() => finish([]), Number(query.get('wait_ms')));
    this.#waiters.add(answer);
    res.once('close', () => {
      clearTimeout(timer);
      this.#waiters.delete(answer);
    });
  }

  #transact({ expected_revision = [], writes = [], remove = [] }, res) {
    const known = expected_revision.map(({ table, part = '', key }) =>
      this.#rows.get(`${table}/${part}/${key}`),
    );
    const fits = expected_revision.every(
      ({ row_version }, index) =>
        row_version === (known[index]?.row_version ?? 0),
    );
    if (!fits) {
      this.#reply(res, 412, { rows: known.filter(Boolean) });
      return;
    }
    this.#apply(writes, remove);
    this.#reply(res, 200, {});
  }
}
