const MB = 1024 * 1024;

/** Resources of the machine that a process runs on. */
export interface MachineLimits {
  /** Memory, in bytes. */
  readonly memoryBytes: number;
  /** Number of descriptors. */
  readonly descriptors: number;
}

/** Resources that are assumed where the settings state none. */
export const DEFAULT_MACHINE: MachineLimits = {
  memoryBytes: 350 * MB,
  descriptors: 4096,
};

/**
 * Describes a machine by its limits, as far as they are known.
 *
 * @param memoryMb - memory, in MB
 * @param descriptors - number of descriptors
 * @returns the limits, with those of `DEFAULT_MACHINE` in place of unknown ones
 */
export function machineOf(
  memoryMb?: number,
  descriptors = DEFAULT_MACHINE.descriptors,
): MachineLimits {
  return {
    memoryBytes:
      memoryMb === undefined ? DEFAULT_MACHINE.memoryBytes : MB * memoryMb,
    descriptors,
  };
}

/** What the clients of one server may hold together. */
export interface ClientLimits {
  /** Number of connections. */
  readonly maxConnections: number;
  /**
   * Number of requests of one connection that are read while none of them has a
   * complete response.
   */
  readonly maxRequestsAhead: number;
  /**
   * Estimated memory of unanswered requests, of heads that are not complete, and of
   * input that is read and not parsed, in bytes.
   */
  readonly maxHeldBytes: number;
  /** Time for which an answer may wait for a client that takes none of it, in milliseconds. */
  readonly maxUnreadMs: number;
  /** Whether the memory includes bodies of requests, which the server keeps in memory. */
  readonly countsBodies: boolean;
}

/** How the resources of one process are divided. */
export interface ClientResources {
  /** Limits of the server for callers. */
  readonly callers: ClientLimits;
  /** Limits of the server for other instances. */
  readonly peers: ClientLimits;
  /** Limits of the server for addresses, which every caller uses. */
  readonly directory: ClientLimits;
  /** Limits of each other server. */
  readonly side: ClientLimits;
  /** Memory for the bodies of requests, in bytes. */
  readonly bodyBytes: number;
  /** Memory for responses that are not complete, in bytes. */
  readonly responseBytes: number;
}

/** Descriptors for files, and for sockets that have no client. */
const OTHER_DESCRIPTORS = 200;
/** Memory of an instance without clients, in bytes. */
const OWN_BYTES = 110 * MB;
const MIN_CLIENT_BYTES = 16 * MB;

/**
 * Shares of the sockets. A request that is sent to a replica needs a second one, and a
 * tunnel for another instance as well.
 */
const CALLER_SHARE = 0.3;
const PEER_SHARE = 1 / 8;
const DIRECTORY_SHARE = 1 / 10;
const SIDE_SHARE = 1 / 40;

/** Shares of the memory for clients, and the most that is of use. */
const BODY_SHARE = 0.3;
const MAX_BODY_BYTES = 64 * MB;
const RESPONSE_SHARE = 0.15;
const MAX_RESPONSE_BYTES = 32 * MB;
const HELD_SHARE = 0.15;
const MAX_HELD_BYTES = 36 * MB;
const SIDE_HELD_BYTES = 2 * MB;
const PEER_HELD_BYTES = 8 * MB;

const MAX_REQUESTS_AHEAD = 32;
const MAX_REQUESTS_AHEAD_ASIDE = 2;
const MAX_UNREAD_MS = 30_000;

/**
 * Divides the resources of a machine among the servers of a process.
 *
 * @param machine - resources of the machine
 * @returns the limits of each server
 */
export function divideResources({
  memoryBytes,
  descriptors,
}: MachineLimits): ClientResources {
  const sockets = Math.max(descriptors - OTHER_DESCRIPTORS, 0);
  const clientBytes = Math.max(memoryBytes - OWN_BYTES, MIN_CLIENT_BYTES);
  const connections = (share: number): number =>
    Math.max(Math.floor(share * sockets), 1);
  const bytes = (share: number, mostBytes: number): number =>
    Math.min(Math.floor(share * clientBytes), mostBytes);
  const aside: Omit<ClientLimits, 'maxConnections'> = {
    maxRequestsAhead: MAX_REQUESTS_AHEAD_ASIDE,
    maxHeldBytes: SIDE_HELD_BYTES,
    maxUnreadMs: MAX_UNREAD_MS,
    countsBodies: true,
  };
  return {
    callers: {
      maxConnections: connections(CALLER_SHARE),
      maxRequestsAhead: MAX_REQUESTS_AHEAD,
      maxHeldBytes: bytes(HELD_SHARE, MAX_HELD_BYTES),
      maxUnreadMs: MAX_UNREAD_MS,
      countsBodies: false,
    },
    peers: {
      ...aside,
      maxConnections: connections(PEER_SHARE),
      maxHeldBytes: PEER_HELD_BYTES,
    },
    directory: { ...aside, maxConnections: connections(DIRECTORY_SHARE) },
    side: { ...aside, maxConnections: connections(SIDE_SHARE) },
    bodyBytes: bytes(BODY_SHARE, MAX_BODY_BYTES),
    responseBytes: bytes(RESPONSE_SHARE, MAX_RESPONSE_BYTES),
  };
}
