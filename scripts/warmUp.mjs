// Runs the bundle once, so that its code cache contains the code of a start, of first
// requests, of messages between instances and of store reads.
import { spawn } from 'node:child_process';
import { writeFileSync } from 'node:fs';
import { createServer, request } from 'node:http';
import { createServer as createListener } from 'node:net';
import path from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';

const HOST = '127.0.0.1';
/** Ports of one instance. */
const PORTS = 5;
/** Range from which ports are tried: below the ephemeral ports. */
const FIRST_PORT = 20_000;
const LAST_PORT = 31_000;
const PORT_ATTEMPTS = 50;
/** Time after which the instances are killed, in milliseconds. */
const TIME_LIMIT_MS = 9000;
/** Time after which the instance writes its cache in any case, in milliseconds. */
const WRITE_AFTER_MS = 6000;
/** Rounds of requests; the first ones are sent before the instances know each other. */
const ROUNDS = 4;
const ROUND_MS = 300;
const READY_ATTEMPTS = 40;
const READY_PAUSE_MS = 50;
const REQUEST_TIMEOUT_MS = 1000;
const EVENTS = 8;
const EVENT_MS = 5;
const HEARTBEAT_MS = 250;

const listenAt = server =>
  new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, HOST, () => resolve(server.address().port));
  });

const isFree = port =>
  new Promise(resolve => {
    const listener = createListener();
    listener.once('error', () => resolve(false));
    listener.listen(port, HOST, () => listener.close(() => resolve(true)));
  });

/** @returns the first of some adjacent ports that nobody listens on */
async function findPorts(count) {
  for (let attempt = 0; attempt < PORT_ATTEMPTS; attempt += 1) {
    const first =
      FIRST_PORT + Math.floor(Math.random() * (LAST_PORT - FIRST_PORT - count));
    const ports = Array.from({ length: count }, (_, index) => first + index);
    const free = await Promise.all(ports.map(isFree));
    if (free.every(Boolean)) {
      return first;
    }
  }
  throw new Error('no free ports for the warm-up run');
}

const ROUTES = [
  { name: 'live', kind: 'streaming', resumable: true, service: 'model' },
  { name: 'batch', kind: 'streaming', service: 'model' },
  { name: 'look-up', kind: 'safe', service: 'plain' },
  { name: 'booking', kind: 'unsafe', service: 'plain' },
];

const CONFIGURATION = {
  version: 1,
  routes: ROUTES.map((route, priority) => ({
    host: 'warm.example',
    prefix: `/${route.name}/`,
    attempts: 2,
    timeout_ms: 5000,
    target_latency_ms: 500,
    target_gap_ms: 500,
    priority,
    ...route,
  })),
  services: [
    {
      name: 'model',
      max_connections: 100,
      engine: { slots: 8, kv_capacity_tokens: 100_000, stride: 2 },
    },
    { name: 'plain', max_connections: 100 },
  ],
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 100_000,
    header_timeout_ms: 5000,
    idle_timeout_ms: 15_000,
  },
  tenants: [{ name: 'caller', api_keys: ['key'] }],
};

/** A replica that streams some events, or answers with JSON. */
function createReplica() {
  return createServer((req, res) => {
    req.resume().on('end', async () => {
      const headers = {
        'x-jujubecroft-request-id': req.headers['x-jujubecroft-request-id'],
        'x-jujubecroft-response-stamp': `${req.headers['x-jujubecroft-request-id']};warm`,
        'x-jujubecroft-instance-load': '1,0,8',
      };
      if (!ROUTES.slice(0, 2).some(({ name }) => req.url?.includes(name))) {
        res.writeHead(200, { ...headers, 'content-type': 'application/json' });
        res.end('{}');
        return;
      }
      res.writeHead(200, { ...headers, 'content-type': 'text/event-stream' });
      for (let id = 1; id <= EVENTS; id += 1) {
        res.write(`id: ${id}\ndata: {"text":"piece"}\n\n`);
        await sleep(EVENT_MS);
      }
      res.end('event: done\ndata: {}\n\n');
    });
  });
}

/** The calls of the platform's store that a gateway makes. */
function createStore(replica) {
  const startedMs = Date.now();
  const instances = new Map();
  let version = 10;
  const toRow = (key, content) => ({
    key,
    value: Buffer.from(JSON.stringify(content)).toString('base64'),
    row_version: version,
  });
  const replicaRows = () =>
    ['model', 'model', 'model', 'plain', 'plain'].map((service, index) =>
      toRow(`replica-${index}`, {
        service,
        address: `${HOST}:${replica.address().port}`,
        zone: `zone-${index % 2}`,
        version: '1',
        slots: 8,
        state: 'ready',
        cold_remaining_ms: 0,
        sequence: version,
      }),
    );
  const rowsOf = (table, after) => {
    if (table === 'servers') {
      return replicaRows();
    }
    if (table === 'instances') {
      return [...instances].map(([key, value]) => ({
        key,
        value,
        row_version: version,
      }));
    }
    return table === 'op' && after === 0
      ? [toRow('config', CONFIGURATION)]
      : [];
  };
  return createServer(async (req, res) => {
    const url = new URL(req.url ?? '/', 'http://store');
    const chunks = [];
    for await (const chunk of req) {
      chunks.push(chunk);
    }
    const { writes = [] } = JSON.parse(
      Buffer.concat(chunks).toString() || '{}',
    );
    version += 1;
    writes
      .filter(({ table }) => table === 'instances')
      .forEach(({ key, value }) => instances.set(key, value));
    await sleep(
      url.searchParams.get('table') === 'op'
        ? Math.min(HEARTBEAT_MS, Number(url.searchParams.get('wait_ms') ?? 0))
        : 0,
    );
    const rows = rowsOf(
      url.searchParams.get('table'),
      Number(url.searchParams.get('after_revision') ?? 0),
    );
    res.writeHead(200, { 'content-type': 'application/json' });
    res.end(
      JSON.stringify({
        rows,
        truncated: false,
        row_version: version,
        now_ms: Date.now() - startedMs,
      }),
    );
  });
}

/** Sends one request, and reads the answer to its end. */
function send(address, { url, headers = {}, body = '' }) {
  return new Promise(resolve => {
    const [host, port] = address.split(':');
    const req = request(
      {
        host,
        port,
        path: url,
        method: body === '' ? 'GET' : 'POST',
        headers,
        timeout: REQUEST_TIMEOUT_MS,
      },
      res => {
        res.resume().on('close', () => resolve(res.statusCode ?? 0));
      },
    );
    req.on('error', () => resolve(0)).on('timeout', () => req.destroy());
    req.end(body);
  });
}

async function waitUntilReady(address) {
  for (let attempt = 0; attempt < READY_ATTEMPTS; attempt += 1) {
    if ((await send(address, { url: '/jujubecroft/readiness' })) === 200) {
      return;
    }
    await sleep(READY_PAUSE_MS);
  }
}

async function sendRound(address, round) {
  const requests = ROUTES.flatMap(({ name }, index) =>
    [0, 1].map(copy => ({
      url: `/${name}/x`,
      headers: {
        host: 'warm.example',
        authorization: 'Token key',
        'x-jujubecroft-request-id': `warm-${round}-${index}-${copy}`,
        'x-jujubecroft-deadline-ms': '4000',
        ...(index < 2
          ? {
              'x-jujubecroft-token-usage': '400,16',
              'x-jujubecroft-prompt-prefix': `part-${copy}:300`,
              'x-jujubecroft-length-hint': '16',
            }
          : {}),
      },
      body: '{"prompt":"warm"}',
    })),
  );
  return Promise.all(requests.map(req => send(address, req)));
}

/**
 * Runs two instances beside stand-ins of the store and of the replicas, and sends some
 * requests to one of them, which then writes the code cache.
 *
 * Without it, an instance compiles the code of its first requests and messages when it
 * needs them. If the run fails, the cache contains the code that was compiled until then.
 *
 * @param target - folder of the bundle
 * @param flags - flags of Node.js with which the bundle will run
 * @param timeLimitMs - time after which the instances end in any case
 * @returns the status codes of the answers; the cache is useful whatever they are
 */
export async function warmUp(target, flags, timeLimitMs = TIME_LIMIT_MS) {
  const replica = createReplica();
  const store = createStore(replica);
  const children = [];
  const killAll = () => {
    children.forEach(child => child.kill('SIGKILL'));
  };
  const limit = setTimeout(killAll, timeLimitMs);
  const answers = [];
  try {
    await listenAt(replica);
    const storePort = await listenAt(store);
    const firstPort = await findPorts(2 * PORTS);
    const start = (index, { nodeFlags = [], env = {} }) => {
      const at = offset => `${HOST}:${firstPort + PORTS * index + offset}`;
      const settings = path.join(target, `warm-up-${index}.json`);
      writeFileSync(
        settings,
        JSON.stringify({
          node_name: `warm-up-${index}`,
          ip: HOST,
          zone: `zone-${index}`,
          listen: { front: at(2), ready: at(3), directory: at(4) },
          internal_port_range: [
            firstPort + PORTS * index,
            firstPort + PORTS * index + 1,
          ],
          platform: { address: `${HOST}:${storePort}` },
          cloud: {
            address: `${HOST}:${storePort}`,
            duties: ['usage_reporting'],
          },
        }),
      );
      const child = spawn(
        process.execPath,
        [
          ...flags,
          ...nodeFlags,
          path.join(target, 'start.cjs'),
          'gateway',
          '--settings',
          settings,
        ],
        {
          env: { PATH: process.env.PATH, JUJUBECROFT_BOOT: settings, ...env },
          stdio: 'ignore',
        },
      );
      children.push(child);
      const ended = new Promise(resolve => {
        child.once('exit', resolve).once('error', resolve);
      });
      return { child, ended, front: at(2), ready: at(3), directory: at(4) };
    };
    // The peer must end by itself: if the build is killed, nobody else ends it.
    const exitInTime = `data:text/javascript,setTimeout(process.exit,${timeLimitMs})`;
    start(1, { nodeFlags: ['--import', exitInTime] });
    const writer = start(0, {
      env: { JUJUBECROFT_KEEP_CODE_MS: String(WRITE_AFTER_MS) },
    });
    await waitUntilReady(writer.ready);
    for (let round = 0; round < ROUNDS; round += 1) {
      answers.push(...(await sendRound(writer.front, round)));
      await send(writer.directory, {
        url: '/jujubecroft/resolution?name=warm.example&region=r&zone=zone-0',
      });
      await sleep(ROUND_MS);
    }
    writer.child.kill('SIGTERM');
    await writer.ended;
  } finally {
    clearTimeout(limit);
    killAll();
    [replica, store].forEach(server => {
      server.close();
      server.closeAllConnections();
    });
  }
  return answers;
}
