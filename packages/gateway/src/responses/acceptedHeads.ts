import { request } from 'node:http';
import { Duplex } from 'node:stream';
import { STRICT_PARSER } from '@jujubecroft/types';

/** Heads that RFC 9112 (section 5) requires to be rejected, by what is wrong with them. */
export const MALFORMED_HEADS: Readonly<Record<string, string>> = {
  blankBeforeName: 'HTTP/1.1 200 OK\r\n X-Other: 6\r\n\r\n',
  blankInName: 'HTTP/1.1 200 OK\r\nX Other: 6\r\n\r\n',
  blankAfterName: 'HTTP/1.1 200 OK\r\nX-Other : 6\r\n\r\n',
  controlByteInName: 'HTTP/1.1 200 OK\r\nX-\x01Other: 6\r\n\r\n',
  carriageReturnBeforeName: 'HTTP/1.1 200 OK\r\n\rX-Other: 6\r\n\r\n',
};

/** Returns a connection whose server answers with a head, and which needs no network. */
function connectionWith(head: string): Duplex {
  return new Duplex({
    read: () => undefined,
    write(_data, _encoding, done) {
      this.push(head, 'latin1');
      this.push(null);
      done();
    },
  });
}

/** Whether the HTTP parser of Node.js takes a head for that of a response. */
function isAccepted(head: string): Promise<boolean> {
  return new Promise(resolve => {
    const req = request({
      ...STRICT_PARSER,
      host: 'localhost',
      createConnection: () => connectionWith(head),
    });
    req.once('response', () => {
      resolve(true);
      req.destroy();
    });
    req.on('error', () => {
      resolve(false);
    });
    req.once('close', () => {
      resolve(false);
    });
    req.end();
  });
}

/**
 * Finds out which heads the HTTP parser of Node.js accepts for the clients of this program.
 *
 * @param heads - heads of responses by name
 * @returns the names of those that are accepted
 */
export async function acceptedHeads(
  heads: Readonly<Record<string, string>>,
): Promise<readonly string[]> {
  const results = await Promise.all(
    Object.entries(heads).map(
      async ([name, head]) => [name, await isAccepted(head)] as const,
    ),
  );
  return results.flatMap(([name, accepted]) => (accepted ? [name] : []));
}
