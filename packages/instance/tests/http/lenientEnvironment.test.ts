import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { connect } from 'node:net';
import path from 'node:path';
import { text } from 'node:stream/consumers';
import { describe } from '@jujubecroft/testing';

const HOST = '127.0.0.1';
const PROGRAM = path.resolve(import.meta.dirname, '../helpers/serveCallers.ts');
const HEAD_END = 'Connection: close\r\n\r\n';
/** Heads that only a lenient HTTP parser accepts. */
const MALFORMED_HEADS = [
  'GET /x HTTP/1.1\r\n Host: a.example\r\n',
  'GET /x HTTP/1.1\r\nHost: a.example\r\n X-Other: 6\r\n',
];
const SOUND_HEAD = 'GET /x HTTP/1.1\r\nHost: a.example\r\n';

async function statusLineOf(port: number, head: string): Promise<string> {
  const socket = connect(port, HOST);
  socket.write(head + HEAD_END);
  const [line = ''] = (await text(socket)).split('\r\n');
  return line;
}

/** Returns the answers to the heads by a process that was started with a lenient parser. */
async function statusLines(
  heads: readonly string[],
): Promise<readonly string[]> {
  const child = spawn(
    process.execPath,
    ['--insecure-http-parser', '--import=tsx', PROGRAM],
    { stdio: ['pipe', 'pipe', 'inherit'] },
  );
  try {
    const [port] = (await once(child.stdout, 'data')) as [Buffer];
    return await Promise.all(
      heads.map(head => statusLineOf(Number(port), head)),
    );
  } finally {
    child.stdin.end();
    await once(child, 'exit');
  }
}

describe('a server for callers in a process that was started with a lenient HTTP parser', ({
  it,
}) => {
  // Guards against an environment that decides how strictly requests are read.
  it('refuses a malformed head, and no other', async t => {
    t.deepEqual(await statusLines([...MALFORMED_HEADS, SOUND_HEAD]), [
      'HTTP/1.1 400 Bad Request',
      'HTTP/1.1 400 Bad Request',
      'HTTP/1.1 404 Not Found',
    ]);
  });
});
