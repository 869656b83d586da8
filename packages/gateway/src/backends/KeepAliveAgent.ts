import type {
  ClientRequest,
  ClientRequestArgs,
  IncomingMessage,
} from 'node:http';
import { Agent } from 'node:http';
import { Socket } from 'node:net';

import { headerValue } from '../util/headers.js';
import { endedByReset } from './endedByReset.js';
import { openSocket } from './openSocket.js';

/** Idle timeout of a connection whose server states none. */
const DEFAULT_IDLE_TIMEOUT_MS = 900;
/**
 * Connections are closed this long before the timeout that the server states.
 */
const IDLE_TIMEOUT_MARGIN_MS = 1000;
const MAX_IDLE_TIMEOUT_MS = 60_000;
const MS_PER_SECOND = 1000;
const KEEP_ALIVE_TIMEOUT_PATTERN = /(?:^|[,\s])timeout=(\d+)/i;
/**
 * Error code for a reset by the server; replaces the code `ECONNRESET` of the
 * operating system.
 */
export const RESET_ERROR_CODE = 'RESET_BY_SERVER';

/** Opens connections to the host and port of each request. */
interface DirectOpening {
  /** Timeout for opening a connection, in milliseconds. */
  readonly connectTimeoutMs: number;
}

/** Opens connections in a way of its own. */
interface OwnOpening {
  /** Opens a connection to the server. */
  readonly open: () => Promise<Socket>;
  /** Whether an idle connection may be kept. */
  readonly mayKeep: (socket: Socket) => boolean;
}

/** Connection limit for one server, and how its connections are opened. */
export type KeepAliveOptions = (DirectOpening | OwnOpening) & {
  readonly maxConnections: number;
};

/**
 * A socket with the internal field in which Node.js stores its last request.
 */
interface KeptSocket extends Socket {
  readonly _httpMessage?: { readonly res?: IncomingMessage };
}

/** Handles a connection that was opened for a request, or the failure to open it. */
type OpeningHandler = (err: Error | null, socket?: Socket) => void;

/** Methods of the HTTP agent that Node.js lets agents override but does not declare. */
interface AgentMethods {
  readonly createSocket: (
    req: ClientRequest,
    options: ClientRequestArgs,
    handle: OpeningHandler,
  ) => void;
  readonly removeSocket: (socket: Socket, options: ClientRequestArgs) => void;
}

const BASE_METHODS = Agent.prototype as unknown as AgentMethods;

/** Idle timeout of a connection after its last response, in milliseconds. */
function idleTimeoutMs({ _httpMessage: lastRequest }: KeptSocket): number {
  const rawHeaders = lastRequest?.res?.rawHeaders ?? [];
  const keepAlive = headerValue(rawHeaders, 'keep-alive') ?? '';
  const [, seconds] = KEEP_ALIVE_TIMEOUT_PATTERN.exec(keepAlive) ?? [];
  return seconds === undefined
    ? DEFAULT_IDLE_TIMEOUT_MS
    : Math.min(
        MAX_IDLE_TIMEOUT_MS,
        Number(seconds) * MS_PER_SECOND - IDLE_TIMEOUT_MARGIN_MS,
      );
}

function destroySocket(this: Socket): void {
  this.destroy();
}

/**
 * Opens the connections to one server and keeps them alive.
 *
 * It extends the HTTP agent of Node.js, whose parser is built in. The undici
 * client compiles its parser at the first response, which takes 300 ms of CPU
 * time and 9 MB of memory in each process.
 */
export class KeepAliveAgent extends Agent {
  readonly #resetAtEnd = new WeakSet<Socket>();
  #closing = false;

  constructor(private readonly limits: KeepAliveOptions) {
    super({ keepAlive: true, maxSockets: limits.maxConnections });
  }

  /**
   * Whether a connection was reset although it seemed to end regularly.
   *
   * @param socket - connection of a response that has ended
   */
  wasReset(socket: Socket): boolean {
    return this.#resetAtEnd.has(socket);
  }

  /**
   * Closes idle connections and keeps no further ones; requests in progress
   * continue.
   */
  close(): void {
    this.#closing = true;
    this.closeIdle();
  }

  /**
   * Closes idle connections.
   *
   * @param isClosed - selects the connections to close; all if omitted
   */
  closeIdle(isClosed: (socket: Socket) => boolean = () => true): void {
    Object.values(this.freeSockets)
      .flatMap(sockets => sockets ?? [])
      .filter(isClosed)
      .forEach(socket => {
        socket.destroy();
      });
  }

  /**
   * Opens a connection for a request.
   *
   * If that fails, Node.js leaves further requests that wait for a connection without one
   * until another request is sent.
   */
  createSocket(
    req: ClientRequest,
    options: ClientRequestArgs,
    handle: OpeningHandler,
  ): void {
    BASE_METHODS.createSocket.call(this, req, options, (err, socket) => {
      handle(err, socket);
      if (err) {
        this.#openForNext(req, options);
      }
    });
  }

  /** Opens a connection for the next waiting request, instead of the failed one. */
  #openForNext(failed: ClientRequest, options: ClientRequestArgs): void {
    Object.entries(this.requests).forEach(([name, queue]) => {
      const others = queue?.filter(req => (req as unknown) !== failed) ?? [];
      if (others.length === 0) {
        Reflect.deleteProperty(this.requests, name);
      } else if (queue && others.length < queue.length) {
        queue.splice(0, queue.length, ...others);
      }
    });
    if (Object.keys(this.requests).length > 0) {
      // As after the end of a connection, one is opened for the first in the queue.
      BASE_METHODS.removeSocket.call(this, new Socket(), options);
    }
  }

  /** Opens a connection, at once or with the callback. */
  override createConnection(
    { host, port }: ClientRequestArgs,
    callback?: (err: Error | null, socket: Socket) => void,
  ): Socket | undefined {
    const { limits } = this;
    if ('connectTimeoutMs' in limits) {
      const socket = openSocket({
        address: `${host ?? ''}:${port ?? ''}`,
        timeoutMs: limits.connectTimeoutMs,
        reader: 'httpParser',
      });
      return this.#watch(socket);
    }
    limits.open().then(
      socket => {
        callback?.(null, this.#watch(socket));
      },
      (err: unknown) => {
        const fail = callback as ((err: unknown) => void) | undefined;
        fail?.(err);
      },
    );
    return undefined;
  }

  /**
   * Tells resets of a connection from regular ends.
   *
   * A response without length or chunked encoding ends with its connection, so
   * a truncated one looks complete if a reset is taken for the end.
   */
  #watch(socket: Socket): Socket {
    socket.prependListener('error', (err: NodeJS.ErrnoException) => {
      if (err.code === 'ECONNRESET') {
        err.code = RESET_ERROR_CODE;
      }
    });
    socket.prependListener('end', () => {
      if (endedByReset(socket)) {
        this.#resetAtEnd.add(socket);
      }
    });
    return socket;
  }

  /**
   * Keeps an idle connection for as long as its server is certain to keep it.
   *
   * A connection that the server has closed, or on which it sent unexpected
   * bytes, would leave the next request without a response or with that of
   * another request. Unexpected data or an end therefore closes an idle
   * connection at once.
   */
  override keepSocketAlive(socket: KeptSocket): boolean {
    const idleMs = idleTimeoutMs(socket);
    const { limits } = this;
    const mayKeep = !('mayKeep' in limits) || limits.mayKeep(socket);
    if (this.#closing || idleMs <= 0 || !mayKeep) {
      return false;
    }
    socket.setTimeout(idleMs);
    socket.on('timeout', destroySocket);
    socket.on('data', destroySocket);
    socket.on('end', destroySocket);
    socket.unref();
    return true;
  }

  override reuseSocket(socket: Socket, req: ClientRequest): void {
    socket.off('timeout', destroySocket);
    socket.off('data', destroySocket);
    socket.off('end', destroySocket);
    socket.setTimeout(0);
    super.reuseSocket(socket, req);
  }
}
