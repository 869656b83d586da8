// Sends requests to gateways as callers do, and records what came of each.
import { Agent, request } from 'node:http';

/** Connections of all requesters of a run. */
export class Requester {
  #agent = new Agent({ keepAlive: true, maxSockets: 200 });

  /**
   * Sends one request.
   *
   * @returns status, headers and body; status 0 if the connection closed without a
   *   complete answer
   */
  send(
    front,
    { id, method = 'POST', path, body = '', headers = {}, timeLeftMs = 4000 },
  ) {
    const [host, port] = front.split(':');
    return new Promise(resolve => {
      const req = request(
        {
          agent: this.#agent,
          host,
          port,
          method,
          path,
          headers: {
            Host: 'a.example',
            'X-Jujubecroft-Request-Id': id,
            'X-Jujubecroft-Deadline-Ms': String(timeLeftMs),
            'Content-Length': Buffer.byteLength(body),
            ...headers,
          },
        },
        res => {
          const chunks = [];
          res.on('data', chunk => chunks.push(chunk));
          res.once('end', () => {
            resolve({
              status: res.statusCode,
              headers: res.headers,
              body: Buffer.concat(chunks).toString(),
            });
          });
          res.once('error', err => {
            resolve({ status: 0, error: err.code, headers: {}, body: '' });
          });
        },
      );
      req.once('error', err => {
        resolve({ status: 0, error: err.code, headers: {}, body: '' });
      });
      req.setTimeout(timeLeftMs + 1000, () => req.destroy());
      req.end(body);
    });
  }

  close() {
    this.#agent.destroy();
  }
}
