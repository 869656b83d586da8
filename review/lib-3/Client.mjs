// Stand-in for a requester: one request on a channel of its own.
import { request } from 'node:http';

let sent = 0;

export const nextId = () => {
  sent += 1;
  return `req${String(process.pid)}x${String(sent).padStart(6, '0')}`;
};

/** Sends a request and resolves with what the requester got. */
export function send({
  host,
  port,
  name,
  method = 'GET',
  path,
  key,
  deadlineMs = 4000,
  headers = {},
  body = null,
  agent = false,
  id = nextId(),
}) {
  return new Promise(done => {
    const startedMs = performance.now();
    const chunks = [];
    const result = { id, path, status: null, complete: false, error: null };
    const finish = () => {
      clearTimeout(timer);
      done({
        ...result,
        body: Buffer.concat(chunks),
        tookMs: performance.now() - startedMs,
      });
    };
    const req = request({
      host,
      port,
      method,
      path,
      agent,
      headers: {
        host: name,
        'x-jujubecroft-request-id': id,
        'x-jujubecroft-deadline-ms': String(deadlineMs),
        ...(key === undefined ? {} : { authorization: `Token ${key}` }),
        ...(body === null ? {} : { 'content-length': body.length }),
        ...headers,
      },
    });
    const timer = setTimeout(() => {
      result.error = 'gave up';
      req.destroy();
    }, deadlineMs + 1000);
    req.on('response', res => {
      result.status = res.statusCode;
      result.headers = res.headers;
      res.on('data', chunk => chunks.push(chunk));
      res.on('error', err => {
        result.error ??= err.message;
      });
      res.on('close', () => {
        result.complete = res.complete;
        finish();
      });
    });
    req.on('error', err => {
      result.error ??= err.message;
      if (result.status === null) {
        finish();
      }
    });
    req.end(body ?? undefined);
  });
}
