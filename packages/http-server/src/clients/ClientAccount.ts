import type { ClientLimits } from './ClientLimits.js';

/** Why a connection of a client is closed. */
export type ClientLimitReason =
  /** There were too many connections. */
  | 'connections'
  /** The client took none of an answer for too long. */
  | 'unread'
  /** The clients held too much memory together, and this one most of it. */
  | 'memory';

/** What one connection of a client holds. */
export interface ClientConnection {
  /** Address of the client. */
  readonly address: string;
  /** Number of requests without a complete response. */
  readonly requests: number;
  /** Whether a request is being processed, of which the client has sent everything. */
  readonly isWorking: boolean;
  /** Whether a request of it was answered. */
  readonly wasServed: boolean;
  /** Reading of the clock when bytes were last read or taken, in milliseconds. */
  readonly progressMs: number;
  /** Estimated memory of unanswered requests and of input, in bytes. */
  readonly heldBytes: number;
  readonly close: () => void;
}

/** Compares two connections, of which the one that sorts first is closed first. */
type Order = (one: ClientConnection, other: ClientConnection) => number;

const byProgress: Order = (one, other) =>
  Number(one.wasServed) - Number(other.wasServed) ||
  one.progressMs - other.progressMs;

/**
 * Keeps what the clients of a server hold within its limits.
 *
 * Whatever has to be closed is taken from the client that holds most, so that clients
 * that behave as expected do not pay for others.
 */
export class ClientAccount<Connection extends ClientConnection> {
  readonly #connections = new Set<Connection>();
  readonly #countByAddress = new Map<string, number>();
  #heldBytes = 0;

  /**
   * @param limits - what all clients may hold together
   * @param onClose - called before a connection is closed
   */
  constructor(
    readonly limits: ClientLimits,
    private readonly onClose: (
      connection: Connection,
      reason: ClientLimitReason,
    ) => void = () => undefined,
  ) {}

  /** Number of connections. */
  get count(): number {
    return this.#connections.size;
  }

  /** Estimated memory that all clients hold, in bytes. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /**
   * Number of requests of one connection that may be read while none has a complete
   * response. While memory is short, it is a single one.
   */
  get requestsAhead(): number {
    const { maxHeldBytes, maxRequestsAhead } = this.limits;
    return 2 * this.#heldBytes > maxHeldBytes ? 1 : maxRequestsAhead;
  }

  /**
   * Adds a connection, and closes one if there are too many: an idle one, or one whose
   * client is slow to send or to read. If there is none, the new one is closed.
   */
  add(connection: Connection): void {
    if (this.count >= this.limits.maxConnections) {
      const closed = this.#findIdle() ?? connection;
      this.close(closed, 'connections');
      if (closed === connection) {
        return;
      }
    }
    const { address } = connection;
    this.#connections.add(connection);
    this.#countByAddress.set(address, this.#countOf(connection) + 1);
  }

  /** Removes a connection, which returns what it holds by itself. */
  remove(connection: Connection): void {
    if (!this.#connections.delete(connection)) {
      return;
    }
    const left = this.#countOf(connection) - 1;
    if (left > 0) {
      this.#countByAddress.set(connection.address, left);
    } else {
      this.#countByAddress.delete(connection.address);
    }
  }

  /**
   * Changes the memory that all clients hold, after that of one of them has changed. If
   * it exceeds its limit, the connections that hold most are closed.
   *
   * @param bytes - difference; negative for memory that is returned
   */
  charge(bytes: number): void {
    this.#heldBytes += bytes;
    while (bytes > 0 && this.#heldBytes > this.limits.maxHeldBytes) {
      const largest = this.#findLargest();
      if (!largest) {
        return;
      }
      this.close(largest, 'memory');
    }
  }

  /** Closes a connection since a limit is reached. */
  close(connection: Connection, reason: ClientLimitReason): void {
    this.remove(connection);
    this.onClose(connection, reason);
    connection.close();
  }

  #countOf({ address }: ClientConnection): number {
    return this.#countByAddress.get(address) ?? 0;
  }

  /** The first to close of the connections that do no work. */
  #findIdle(): Connection | null {
    return this.#findFirst(
      ({ isWorking }) => !isWorking,
      (one, other) =>
        this.#countOf(other) - this.#countOf(one) || byProgress(one, other),
    );
  }

  #findLargest(): Connection | null {
    return this.#findFirst(
      ({ heldBytes }) => heldBytes > 0,
      (one, other) => other.heldBytes - one.heldBytes || byProgress(one, other),
    );
  }

  #findFirst(
    mayClose: (connection: Connection) => boolean,
    order: Order,
  ): Connection | null {
    let first: Connection | null = null;
    this.#connections.forEach(connection => {
      if (mayClose(connection) && (!first || order(connection, first) < 0)) {
        first = connection;
      }
    });
    return first;
  }
}
