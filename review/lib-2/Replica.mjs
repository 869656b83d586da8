import { createServer } from 'node:http';

let started = 0;

/**
 * Stand-in for a replica: runs requests, and rejects those beyond its slots and queue or
 * that expect another replica.
 */
export class Replica {
  #server;
  #running = 0;
  #waiting = [];

  /**
   * @param store - the stand-in for the store, which gets the replica's entry
   * @param options - service, zone, slots, queue, and `answer`, which answers a request
   */
  constructor(store, options) {
    started += 1;
    this.store = store;
    this.options = { slots: 6, queue: 24, zone: 'zone-a', ...options };
    this.id = `i-${(0x1000 + started).toString(16)}${process.pid.toString(16)}`;
    this.#server = createServer((req, res) => this.#handle(req, res));
    this.#server.keepAliveTimeout = 5000;
  }

  /** Listens and registers itself; reports every 1,200 ms from then on. */
  async start(host) {
    await new Promise(resolve => this.#server.listen(0, host, resolve));
    this.address = `${host}:${this.#server.address().port}`;
    let sequence = 0;
    this.report = () => {
      sequence += 1;
      this.store.put('servers', this.id, {
        service: this.options.service,
        address: this.address,
        zone: this.options.zone,
        version: 'v1',
        slots: this.options.slots,
        state: this.isLeaving ? 'draining' : 'ready',
        cold_remaining_ms: 0,
        sequence,
      });
    };
    this.report();
    this.reports = setInterval(this.report, 1200);
  }

  /** Reports that the replica leaves; it goes on serving. */
  drain() {
    this.isLeaving = true;
    this.report();
  }

  stop() {
    clearInterval(this.reports);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #reject(req, res, status) {
    req.resume();
    res.writeHead(status, {
      'X-Jujubecroft-Request-Id': req.headers['x-jujubecroft-request-id'] ?? '',
      'X-Jujubecroft-Instance-Id': this.id,
      ...(status === 503 ? { 'X-Jujubecroft-Not-Executed': '1' } : {}),
    });
    res.end();
  }

  #handle(req, res) {
    const { service, slots, queue, rejects, onArrival } = this.options;
    const expected = req.headers['x-jujubecroft-expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      this.#reject(req, res, 421);
      return;
    }
    const id = req.headers['x-jujubecroft-request-id'];
    onArrival?.({ id, service, replica: this.id });
    if (rejects?.(req) || this.#waiting.length >= queue) {
      this.#reject(req, res, 503);
      return;
    }
    let bytes = 0;
    req.on('data', chunk => {
      bytes += chunk.length;
    });
    req.once('end', () => {
      this.#waiting.push(async () => {
        if (res.destroyed) {
          return;
        }
        await this.options.answer({ req, res, id, bytes, replica: this });
      });
      this.#next(slots);
    });
    req.on('error', () => undefined);
    res.on('error', () => undefined);
  }

  #next(slots) {
    while (this.#running < slots && this.#waiting.length > 0) {
      const run = this.#waiting.shift();
      this.#running += 1;
      void run().finally(() => {
        this.#running -= 1;
        this.#next(slots);
      });
    }
  }

  /** Headers of the answer to a request that has run. */
  answerHeaders(id) {
    return {
      'X-Jujubecroft-Request-Id': id,
      'X-Jujubecroft-Response-Stamp': `${this.id}.${id}`,
      'X-Jujubecroft-Instance-Load': `${this.#running},${this.#waiting.length},${this.options.slots}`,
    };
  }
}
