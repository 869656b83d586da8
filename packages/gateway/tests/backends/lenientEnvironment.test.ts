import { execFile } from 'node:child_process';
import { createServer } from 'node:net';
import path from 'node:path';
import { promisify } from 'node:util';
import { listenOn } from '@jujubecroft/stand-ins/util';
import { describe } from '@jujubecroft/testing';

const HOST = '127.0.0.1';
const PROGRAM = path.resolve(
  import.meta.dirname,
  '../helpers/printAcceptingClients.ts',
);
const RUNTIME = path.resolve(
  import.meta.dirname,
  '../helpers/lenientRuntime.ts',
);
const run = promisify(execFile);

/** Heads that only a lenient HTTP parser accepts. */
const MALFORMED_HEADS = {
  'a blank before the first name':
    'HTTP/1.1 200 OK\r\n X-Other: 6\r\nX-Last: 6\r\n\r\n',
  'a blank before a later name':
    'HTTP/1.1 200 OK\r\nX-First: 6\r\n X-Other: 6\r\n\r\n',
  'a carriage return before a name':
    'HTTP/1.1 200 OK\r\nX-First: 6\r\n\rX-Other: 6\r\n\r\n',
};
const SOUND_HEAD = 'HTTP/1.1 200 OK\r\nX-First: 6\r\n\r\n';

/** Returns which clients accept a head, in a process with the given arguments of Node.js. */
async function acceptedBy(
  head: string,
  nodeArguments: readonly string[],
): Promise<Readonly<Record<string, boolean>>> {
  const server = createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.end(head);
    });
  });
  const port = await listenOn(server, HOST);
  try {
    const { stdout } = await run(process.execPath, [
      '--import=tsx',
      ...nodeArguments,
      PROGRAM,
      HOST,
      String(port),
    ]);
    return JSON.parse(stdout) as Record<string, boolean>;
  } finally {
    server.close();
  }
}

/** Heads that the parser of `lenientRuntime` accepts as well. */
const MALFORMED_NAMES = {
  ...MALFORMED_HEADS,
  'a blank within a name': 'HTTP/1.1 200 OK\r\nX Other: 6\r\n\r\n',
  'a tab at the end of a name': 'HTTP/1.1 200 OK\r\nX-Other\t: 6\r\n\r\n',
  'a zero byte as a name': 'HTTP/1.1 200 OK\r\n\0: 6\r\n\r\n',
  'a blank in the name of a length':
    'HTTP/1.1 200 OK\r\nContent-Length : 0\r\n\r\n',
};

const PROCESSES = [
  {
    title: 'a process that was started with a lenient HTTP parser',
    nodeArguments: ['--insecure-http-parser'],
    heads: MALFORMED_HEADS,
  },
  {
    title: 'a runtime whose HTTP parser is lenient whatever its option says',
    nodeArguments: [`--import=${RUNTIME}`],
    heads: MALFORMED_NAMES,
  },
];

PROCESSES.forEach(({ title, nodeArguments, heads }) => {
  describe(`clients in ${title}`, ({ it }) => {
    Object.entries(heads).forEach(([shape, head]) => {
      // Guards against an environment that decides how strictly answers are read.
      it(`refuse ${shape}`, async t => {
        t.deepEqual(await acceptedBy(head, nodeArguments), {
          attempt: false,
          call: false,
          tunnel: false,
        });
      });
    });

    // Guards against clients that refuse everything, with which the tests above would pass.
    it('accept a sound head', async t => {
      t.deepEqual(await acceptedBy(SOUND_HEAD, nodeArguments), {
        attempt: true,
        call: true,
        tunnel: true,
      });
    });
  });
});
