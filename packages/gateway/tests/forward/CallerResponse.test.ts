import type { Server, ServerResponse } from 'node:http';
import { createServer, request } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { connect } from 'node:net';
import { setImmediate as nextTurn } from 'node:timers/promises';
import fc from 'fast-check';
import { describe } from '@jujubecroft/testing';

import { ExecutionRecord } from '../../src/execution/ExecutionRecord.js';
import { CallerResponse } from '../../src/forward/CallerResponse.js';

const MAX_BYTES = 40_000;
const PROMISING_STATUS = 503;

async function withServer(
  handle: (answer: CallerResponse, res: ServerResponse) => void,
  body: (port: number) => Promise<void>,
): Promise<void> {
  const server: Server = createServer((req, res) => {
    handle(
      new CallerResponse(res, {
        isStopping: () => false,
        promisesNotRun: status => status === PROMISING_STATUS,
        onStatus: () => undefined,
      }),
      res,
    );
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  try {
    await body((server.address() as AddressInfo).port);
  } finally {
    server.close();
    server.closeAllConnections();
  }
}

/** Reads the body of a response; rejects if it is malformed or cut off. */
function bodyOf(port: number): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const req = request({ port, host: '127.0.0.1' }, res => {
      const chunks: Buffer[] = [];
      res.on('data', (chunk: Buffer) => {
        chunks.push(chunk);
      });
      res.once('end', () => {
        resolve(Buffer.concat(chunks));
      });
      res.once('error', reject);
    });
    req.once('error', reject);
    req.end();
  });
}

/** Sends requests on one connection at once, and reads until the last response ends. */
function rawAnswers(port: number, requests: string): Promise<string> {
  return new Promise(resolve => {
    const socket: Socket = connect(port, '127.0.0.1', () => {
      socket.write(requests);
    });
    let text = '';
    socket.on('data', chunk => {
      text += chunk.toString('latin1');
    });
    socket.once('close', () => {
      resolve(text);
    });
  });
}

async function writeAll(
  answer: CallerResponse,
  chunks: readonly Buffer[],
): Promise<void> {
  answer.start(200, []);
  for (const chunk of chunks) {
    answer.write(chunk);
    await nextTurn();
  }
  answer.end();
}

describe('CallerResponse', ({ it }) => {
  it('delivers chunks of all sizes in order, framed here or by Node.js', async t => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(fc.integer({ min: 0, max: MAX_BYTES }), { maxLength: 8 }),
        async sizes => {
          const chunks = sizes.map((size, index) => Buffer.alloc(size, index));
          await withServer(
            answer => {
              void writeAll(answer, chunks);
            },
            async port => {
              t.deepEqual(await bodyOf(port), Buffer.concat(chunks));
            },
          );
        },
      ),
      { seed: 20_262, numRuns: 25 },
    );
  });

  it('does not frame chunks for a caller that knows no chunked coding', async t => {
    await withServer(
      answer => {
        void writeAll(answer, [Buffer.from('one'), Buffer.from('two')]);
      },
      async port => {
        const text = await rawAnswers(port, 'GET / HTTP/1.0\r\n\r\n');
        t.true(text.endsWith('\r\n\r\nonetwo'));
      },
    );
  });

  it('keeps responses to pipelined requests apart', async t => {
    let count = 0;
    await withServer(
      (answer, res) => {
        count += 1;
        const name = `answer ${count}`;
        if (count === 2) {
          res.shouldKeepAlive = false;
        }
        void writeAll(answer, [Buffer.from(name), Buffer.from(', whole')]);
      },
      async port => {
        const line = 'GET / HTTP/1.1\r\nhost: a\r\n\r\n';
        const text = await rawAnswers(port, line + line);
        t.is(text.split('HTTP/1.1 200 OK').length, 3);
        t.regex(
          text,
          /answer 1\r\n7\r\n, whole\r\n0\r\n\r\nHTTP[^]*answer 2\r\n7\r\n, whole\r\n0\r\n\r\n$/,
        );
      },
    );
  });

  it('calls back once a caller that did not read accepts more data', async t => {
    const chunk = Buffer.alloc(16_000);
    const drained = new Promise<void>(resolve => {
      void withServer(
        answer => {
          answer.start(200, []);
          answer.write(chunk);
          const fill = (): void => {
            if (answer.write(chunk)) {
              setImmediate(fill);
            } else {
              answer.onDrain(() => {
                answer.cut();
                resolve();
              });
            }
          };
          fill();
        },
        async port => {
          const socket = connect(port, '127.0.0.1', () => {
            socket.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n');
          });
          socket.pause();
          setTimeout(() => {
            socket.resume();
          }, 300);
          await new Promise(closed => {
            socket.once('error', closed);
            socket.once('close', closed);
          });
        },
      );
    });
    await drained;
    t.pass();
  });

  // Guards against a promise for a request that may have run, whatever path the status takes.
  it('writes no status that promises "not run" without a proof', async t => {
    const headers = ['content-length', '0'];
    const paths: readonly ((answer: CallerResponse) => void)[] = [
      answer => {
        answer.start(PROMISING_STATUS, headers);
      },
      answer => {
        answer.send({
          status: PROMISING_STATUS,
          decidedBy: 'replica',
          headers,
          body: Buffer.alloc(0),
        });
      },
    ];
    for (const write of paths) {
      await withServer(
        (answer, res) => {
          t.throws(
            () => {
              write(answer);
            },
            { message: /no proof for status 503/ },
          );
          res.destroy();
        },
        async port => {
          t.is(await rawAnswers(port, 'GET / HTTP/1.1\r\nhost: a\r\n\r\n'), '');
        },
      );
    }
  });

  it('refuses with such a status where the proof is given', async t => {
    const proof = new ExecutionRecord().proveNotRun();
    await withServer(
      answer => {
        if (proof) {
          answer.refuse(
            {
              status: PROMISING_STATUS,
              decidedBy: 'gateway',
              headers: ['connection', 'close'],
              body: Buffer.from('refused'),
            },
            proof,
          );
        }
      },
      async port => {
        const text = await rawAnswers(
          port,
          'GET / HTTP/1.1\r\nhost: a\r\n\r\n',
        );
        t.regex(text, /^HTTP\/1.1 503 [^]*refused$/);
      },
    );
  });
});
