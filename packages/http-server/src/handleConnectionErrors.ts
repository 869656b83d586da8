import type { IncomingMessage, Server } from 'node:http';
import { STATUS_CODES } from 'node:http';
import { Socket } from 'node:net';
import type { Duplex } from 'node:stream';

import { closeDetached } from './closeDetached.js';
import type { ConnectionError } from './ConnectionError.js';
import { statusOf } from './ConnectionError.js';
import { dropInput } from './dropInput.js';
import type { TrackedRequest } from './trackRequests.js';
import { trackRequests } from './trackRequests.js';

/** Time for which a connection is kept after its last byte, in milliseconds. */
const LINGER_MS = 1000;
/** The caller closed its connection inside a request. */
const UNEXPECTED_END = 'HPE_INVALID_EOF_STATE';

/** What a server decides about errors of its connections. */
export interface ConnectionErrorHandling {
  /**
   * Whether the processing of a request may have begun. Others, whose bodies are
   * incomplete, end with the error.
   */
  readonly hasBegun: (req: IncomingMessage) => boolean;
  /** Returns the body with which an error is answered, in JSON. */
  readonly bodyOf: (status: number) => string;
  /** Called with each error, once per connection. */
  readonly onError: (error: ConnectionError) => void;
}

function encodeAnswer(status: number, body: string): string {
  return [
    `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}`,
    'Connection: close',
    'Content-Type: application/json',
    `Content-Length: ${Buffer.byteLength(body)}`,
    '',
    body,
  ].join('\r\n');
}

/**
 * Ends a connection, and closes it once the caller has ended it as well.
 *
 * If it were closed while the caller still sends, the caller's bytes would
 * cause a reset, which discards what the caller has not received yet.
 */
function endGradually(socket: Duplex): void {
  socket.end(() => {
    if (socket.destroyed) {
      return;
    }
    const timer = setTimeout(() => {
      socket.destroy();
    }, LINGER_MS);
    socket.once('close', () => {
      clearTimeout(timer);
    });
  });
}

/**
 * Handles errors of the connections of an HTTP server: bytes that are no
 * request, or come too late.
 *
 * Nothing is written on a connection while a request of it is unanswered: the
 * caller would take it for the answer to that request, or for a part of it.
 * That request is answered as without the error, the bytes that follow are
 * dropped, and the connection ends after the answer. If no request is
 * unanswered, the error is answered with its status.
 *
 * After the last response of any connection, such as one that refuses a body
 * unread, the connection also ends without a reset.
 *
 * Replaces the listeners for these errors.
 *
 * @param server - the server
 * @param handling - what the server decides
 */
export function handleConnectionErrors(
  server: Server,
  { hasBegun, bodyOf, onError }: ConnectionErrorHandling,
): void {
  const requestsOn = trackRequests(server);
  /** Connections from which no more requests are read. */
  const closing = new WeakSet<Duplex>();
  const addDetached = closeDetached(server, socket =>
    requestsOn(socket).every(({ res }) => res.writableEnded),
  );

  // A response may also begin, or be queued, before the body of its request is complete.
  const isUnanswered = ({ req, res }: TrackedRequest): boolean =>
    hasBegun(req) || res.headersSent || res.writableEnded;

  const endAfterAnswers = (
    socket: Socket,
    unanswered: readonly TrackedRequest[],
  ): void => {
    const last = unanswered.at(-1);
    if (last && !last.res.headersSent) {
      // Announces the end of the connection.
      last.res.shouldKeepAlive = false;
    }
    unanswered.forEach(({ res }) => {
      res.once('close', () => {
        if (!requestsOn(socket).some(isUnanswered)) {
          endGradually(socket);
        }
      });
    });
  };

  const handle = (
    code: string,
    answerStatus: number | null,
    socket: Socket,
  ): void => {
    const hasLeft = code === UNEXPECTED_END;
    if (closing.has(socket)) {
      if (hasLeft) {
        socket.end();
      }
      return;
    }
    closing.add(socket);
    const unanswered = requestsOn(socket).filter(isUnanswered);
    const mayAnswer = unanswered.length === 0 && socket.writable;
    const status = mayAnswer ? answerStatus : null;
    onError({ code, status, unanswered: unanswered.map(({ req }) => req) });
    dropInput(socket);
    if (status !== null) {
      socket.write(encodeAnswer(status, bodyOf(status)));
    }
    if (unanswered.length === 0) {
      endGradually(socket);
    } else if (hasLeft) {
      // As after any end of a caller, its requests are withdrawn.
      socket.end();
    } else {
      endAfterAnswers(socket, unanswered);
    }
  };

  server.on('connection', (socket: Socket) => {
    // The server calls it after the last response of a connection.
    socket.destroySoon = () => {
      closing.add(socket);
      dropInput(socket);
      endGradually(socket);
    };
  });
  server.removeAllListeners('clientError');
  server.on('clientError', (err: NodeJS.ErrnoException, socket) => {
    const isOpen = !socket.destroyed && err.code !== 'ECONNRESET';
    if (socket instanceof Socket && isOpen) {
      handle(err.code ?? err.name, statusOf(err), socket);
    }
  });
  server.on('connect', (_req, socket) => {
    if (!(socket instanceof Socket)) {
      return;
    }
    addDetached(socket);
    // The server has removed its listeners: the one for the end, and the one
    // that lets a response go on when the caller accepts more.
    socket.on('end', () => socket.end());
    socket.on('error', () => socket.destroy());
    socket.on('drain', () => {
      requestsOn(socket)[0]?.res.emit('drain');
    });
    handle('CONNECT', null, socket);
  });
}
