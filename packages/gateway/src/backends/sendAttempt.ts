import type { ClientRequest, IncomingMessage } from 'node:http';
import { request } from 'node:http';
import type { Socket } from 'node:net';
import type { RequestId } from '@jujubecroft/types';
import { STRICT_PARSER } from '@jujubecroft/types';

import type { RawHeaders } from '../ports/CallerDialect.js';
import type { RelayedConnection } from '../relay/RelayedConnection.js';
import type { HeadCheck } from '../responses/checkHeads.js';
import { checkHeads, malformedHead } from '../responses/checkHeads.js';
import { limitFraming } from '../responses/FramingLimit.js';
import { InvalidResponseError } from '../responses/InvalidResponseError.js';
import { RejectedRequests } from '../responses/RejectedRequests.js';
import { RejectionFieldsError } from '../responses/RejectionFieldsError.js';
import { watchDecoding } from '../responses/watchDecoding.js';
import { toError } from '../util/toError.js';
import type { BackendPool } from './BackendConnections.js';
import { isParseError, isReset } from './exchangeErrors.js';

/** Limit for the head of a response. */
const MAX_HEAD_BYTES = 64 * 1024;
/** Major version of HTTP by whose rules responses are read. */
const HTTP_MAJOR_VERSION = 1;

/** A request to a backend server. */
export interface BackendRequest {
  readonly id: RequestId;
  readonly method: string;
  /** Path and query, as the caller sent them. */
  readonly target: string;
  readonly headers: string[];
  /** Null if the caller sent none. */
  readonly body: Buffer | null;
}

/**
 * How an exchange with a backend server ended; `sent` tells whether any part of
 * the request may have been sent.
 */
export type ExchangeEnd =
  | { readonly kind: 'complete' }
  | {
      readonly kind: 'failed';
      readonly sent: boolean;
      readonly reason: string;
      /** Whether the request used a connection that had served another one. */
      readonly reused: boolean;
      /** Whether the connection was reset. */
      readonly wasReset: boolean;
    }
  | { readonly kind: 'aborted'; readonly sent: boolean }
  | {
      /** What arrived is no response, or could not be processed. */
      readonly kind: 'invalid';
      readonly sent: boolean;
      readonly error: Error;
    };

/**
 * Callbacks of an exchange in progress. An error that one of them throws ends this exchange
 * and closes its connection.
 */
export interface ExchangeListener {
  /**
   * Called when a connection is open, just before the first byte is sent; false
   * cancels the request. `relay` tells how the connection is relayed; null if it
   * is direct.
   */
  readonly maySend: (relay: RelayedConnection | null) => boolean;
  /**
   * Called with the head of the response.
   *
   * @returns whether it states that the replica did not run the request
   * @throws InvalidResponseError if it is no response to the request
   */
  readonly onStart: (status: number, headers: RawHeaders) => boolean;
  /**
   * Called with each chunk of the body.
   *
   * @returns false to pause the response until `resume` is called
   */
  readonly onData: (chunk: Buffer) => boolean;
}

/** An exchange in progress. */
export interface RunningExchange {
  readonly ended: Promise<ExchangeEnd>;
  /** Aborts the request; if it was sent, its connection is closed. */
  readonly abort: () => void;
  /** Resumes a paused response. */
  readonly resume: () => void;
}

const ABORTED_ERROR = new Error('withdrawn by this instance');
const NOT_ALLOWED_ERROR = new Error(
  'replica may no longer receive the request',
);
/** Set for every body, so that Node.js does not use chunked encoding. */
const CONTENT_LENGTH = 'Content-Length';

/** Connections that were given to a request. */
const USED_SOCKETS = new WeakSet<Socket>();
const REJECTED_REQUESTS = new RejectedRequests();

function contentLengthHeader({ method, body }: BackendRequest): string[] {
  if (body !== null) {
    return [CONTENT_LENGTH, String(body.length)];
  }
  return method === 'GET' || method === 'HEAD' ? [] : [CONTENT_LENGTH, '0'];
}

/**
 * Sends one request to a backend server.
 *
 * The request is never repeated here, since the backend server may have
 * executed it.
 *
 * @param pool - connections to the backend server
 * @param call - the request
 * @param listener - callbacks of the exchange
 * @returns the exchange; its promise `ended` never rejects
 */
export function sendAttempt(
  { host, port, agent, relayOf }: BackendPool,
  call: BackendRequest,
  listener: ExchangeListener,
): RunningExchange {
  let req: ClientRequest | null = null;
  let response: IncomingMessage | null = null;
  let sent = false;
  let aborted = false;
  let reused = false;
  let isRejection = false;
  let hasInterimFields = false;
  const body = { bytes: 0, chunks: 0 };
  let settle: (end: ExchangeEnd) => void = () => undefined;
  const ended = new Promise<ExchangeEnd>(resolve => {
    settle = resolve;
  });

  const failed = (reason: string, wasReset: boolean): ExchangeEnd => ({
    kind: 'failed',
    sent,
    reason,
    reused,
    wasReset,
  });

  const abort = (): void => {
    aborted = true;
    req?.destroy(ABORTED_ERROR);
    settle({ kind: 'aborted', sent });
  };

  const fail = (err: unknown): void => {
    aborted = true;
    req?.destroy(ABORTED_ERROR);
    settle({ kind: 'invalid', sent, error: toError(err) });
  };

  /**
   * Ends this exchange if a listener throws. Otherwise the error would end the process with
   * all its requests, since nothing else handles it.
   */
  const guarded =
    <Args extends readonly unknown[]>(listen: (...args: Args) => void) =>
    (...args: Args): void => {
      try {
        listen(...args);
      } catch (err) {
        fail(err);
      }
    };

  const onError = (err: Error): void => {
    // Data after a complete response is an error of the connection, not of the
    // response.
    if (response?.complete === true) {
      return;
    }
    if (isParseError(err)) {
      const error = new InvalidResponseError('malformed', err.message);
      settle({ kind: 'invalid', sent, error });
    } else {
      settle(failed(err.message, isReset(err)));
    }
  };

  /**
   * Called when the connection is open and the request is about to be sent.
   *
   * The replica may have started to stop while the request waited for a
   * connection. As nothing has been sent yet, the request can go to another
   * replica.
   */
  const onOpen = (socket: Socket): void => {
    if (listener.maySend(relayOf(socket))) {
      sent = true;
    } else {
      req?.destroy(NOT_ALLOWED_ERROR);
    }
  };

  const onSocket = (socket: Socket): void => {
    if (!REJECTED_REQUESTS.allows(socket, call.id)) {
      req?.destroy();
      start();
      return;
    }
    reused = USED_SOCKETS.has(socket);
    USED_SOCKETS.add(socket);
    if (socket.connecting) {
      socket.once(
        'connect',
        guarded(() => {
          onOpen(socket);
        }),
      );
    } else if (!socket.destroyed) {
      onOpen(socket);
    }
  };

  const onResponse = (res: IncomingMessage, isHeadRead: HeadCheck): void => {
    if (!isHeadRead()) {
      throw malformedHead();
    }
    response = res;
    const { socket } = res;
    const isUndecoded = watchDecoding(res);
    res.on(
      'data',
      guarded((chunk: Buffer) => {
        body.bytes += chunk.length;
        body.chunks += 1;
        if (!aborted && !listener.onData(chunk)) {
          res.pause();
        }
      }),
    );
    res.on('error', onError);
    res.on(
      'end',
      guarded(() => {
        if (isRejection && res.rawTrailers.length > 0) {
          // The request has given up its connection by now.
          socket.destroy();
          throw new RejectionFieldsError();
        }
        if (isUndecoded()) {
          throw new InvalidResponseError(
            'unknownCoding',
            'body whose transfer coding was not decoded',
          );
        }
        settle(
          agent.wasReset(socket)
            ? failed(
                'connection reset together with the last bytes of the response',
                true,
              )
            : { kind: 'complete' },
        );
      }),
    );
    if (res.httpVersionMajor !== HTTP_MAJOR_VERSION) {
      throw new InvalidResponseError(
        'malformed',
        `response of HTTP version ${res.httpVersion}`,
      );
    }
    isRejection = listener.onStart(res.statusCode ?? 0, res.rawHeaders);
    if (isRejection && hasInterimFields) {
      throw new RejectionFieldsError();
    }
    if (isRejection) {
      REJECTED_REQUESTS.add(socket, call.id);
    }
  };

  /** Requests a connection, on which the request is then sent. */
  function start(): void {
    const started = request({
      ...STRICT_PARSER,
      agent,
      host,
      port,
      method: call.method,
      path: call.target,
      headers: [...call.headers, ...contentLengthHeader(call)],
      maxHeaderSize: MAX_HEAD_BYTES,
    });
    req = started;
    const onFailure = (err: Error): void => {
      if (req === started) {
        onError(err);
      }
    };
    limitFraming(
      started,
      () => ({
        bytes: body.bytes + (response?.readableLength ?? 0),
        chunks: body.chunks,
      }),
      fail,
    );
    const isHeadRead = checkHeads(started, fail);
    started.on('socket', guarded(onSocket));
    started.on('information', ({ rawHeaders }) => {
      hasInterimFields ||= rawHeaders.length > 0;
    });
    started.on(
      'response',
      guarded((res: IncomingMessage) => {
        onResponse(res, isHeadRead);
      }),
    );
    started.on('error', onFailure);
    // Ensures that the exchange settles whenever the connection closes;
    // otherwise the request would wait until its caller gives up.
    started.once('close', () => {
      onFailure(
        new Error('connection closed before the response was complete'),
      );
    });
    started.end(call.body ?? undefined);
  }

  try {
    start();
  } catch (err) {
    const reason = toError(err).message;
    settle(failed(reason, false));
  }

  return {
    ended,
    abort,
    resume: () => {
      response?.resume();
    },
  };
}
