// Stand-in for a replica: registers in the store, answers by a function of the case.
import { createServer } from 'node:http';

let created = 0;

export class Replica {
  runs = [];
  #server = createServer((req, res) => this.#handle(req, res));
  #beats = null;
  #sequence = 0;
  state = 'ready';

  constructor({ store, record, service, zone, host, port, slots, answer }) {
    created += 1;
    this.id = `i-${created.toString(16).padStart(8, '0')}`;
    Object.assign(this, { store, record, service, zone, host, port, slots });
    this.answer = answer;
    this.#server.keepAliveTimeout = 60_000;
  }

  get address() {
    return `${this.host}:${this.port}`;
  }

  async start(beatMs = 1200) {
    await new Promise(resolve =>
      this.#server.listen(this.port, this.host, resolve),
    );
    this.beat();
    this.#beats = setInterval(() => this.beat(), beatMs);
  }

  beat() {
    this.#sequence += 1;
    this.store.put('servers', this.id, {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: 'v1',
      slots: this.slots,
      state: this.state,
      cold_remaining_ms: 0,
      sequence: this.#sequence,
    });
  }

  /** Ends the process that the stand-in plays: all connections are reset. */
  crash() {
    clearInterval(this.#beats);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #handle(req, res) {
    if (req.url === '/health') {
      res.setHeader('x-jujubecroft-instance-id', this.id);
      res.end();
      return;
    }
    const expected = req.headers['x-jujubecroft-expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      res.writeHead(421, { 'x-jujubecroft-instance-id': this.id });
      res.end();
      return;
    }
    const chunks = [];
    try {
      for await (const chunk of req) {
        chunks.push(chunk);
      }
    } catch {
      return;
    }
    const id = req.headers['x-jujubecroft-request-id'];
    const run = { id, replica: this.id, atMs: performance.now() };
    const head = {
      'x-jujubecroft-request-id': id,
      'x-jujubecroft-response-stamp': `stamp.${this.id}.${id}`,
    };
    this.runs.push(run);
    await this.answer({
      req,
      res,
      head,
      run,
      replica: this,
      body: Buffer.concat(chunks),
    });
  }
}
