import type { Replica } from '@jujubecroft/types';

import type { ReplicaConnector } from '../relay/ReplicaConnector.js';
import type { RelayConnector } from '../relay/RelayConnector.js';
import type { RelayedConnection } from '../relay/RelayedConnection.js';
import { runKeyOf } from '../relay/runKeyOf.js';
import type { Timers } from '../ports/Timers.js';

/**
 * Time from the end of a connection to the check of its server. A process that dies may still
 * accept connections for a moment.
 */
const CHECK_DELAY_MS = 100;
/** Ends of connections to one replica within this time share a check. */
const SHARED_WITHIN_MS = 50;
/** Timeout of a check, and interval of the checks of a silent server, in milliseconds. */
const CHECK_TIMEOUT_MS = 400;
/** Number of checks; a sound server may be silent for a second or two. */
const MAX_CHECKS = 6;

/** What a check shows: that a server accepts connections, has none to accept, or nothing. */
type CheckResult = 'alive' | 'dead' | 'unknown';

const RESULT_BY_CODE: ReadonlyMap<string | undefined, CheckResult> = new Map([
  // No process listens.
  ['ECONNREFUSED', 'dead'],
  // A process accepted the connection and has no room for it.
  ['ECONNRESET', 'alive'],
]);

/**
 * Determines what a connection that did not open says about the replica. A timeout, a lack of
 * sockets and an answer of another instance say nothing.
 */
function resultOf(err: unknown, { address }: Replica): CheckResult {
  const {
    code,
    syscall,
    address: host,
  } = err as NodeJS.ErrnoException & {
    readonly address?: string;
  };
  const isOfReplica =
    syscall === 'connect' && address.split(':', 1)[0] === host;
  return (isOfReplica ? RESULT_BY_CODE.get(code) : undefined) ?? 'unknown';
}

/** Determines what a connection through another instance that did not open says. */
function relayedResultOf(err: unknown): CheckResult {
  // Only the other instance refuses connections itself; it reports those of the replica.
  return (err as NodeJS.ErrnoException).code === 'ECONNREFUSED'
    ? 'dead'
    : 'unknown';
}

/** What an `EndConfirmation` uses. */
export interface EndConfirmationOptions {
  readonly timers: Timers;
  readonly connector: Pick<ReplicaConnector, 'connect'>;
  readonly relay: Pick<RelayConnector, 'connectThrough'>;
}

/**
 * Confirms that whoever ended a connection regularly was not a process that died.
 *
 * The operating system ends the connections of a process that dies in the same way as the
 * process itself would. A body that only the end of its connection delimits counts as complete
 * only if its replica, and an instance that relayed the connection, still run afterwards.
 */
export class EndConfirmation {
  readonly #shared = new Map<string, Promise<boolean>>();

  /** @param options - timers, and what opens connections */
  constructor(private readonly options: EndConfirmationOptions) {}

  /**
   * Checks that the servers of a connection outlived its end.
   *
   * @param replica - replica of the connection
   * @param relayed - how the connection was relayed; null if it was direct
   * @returns false if one of them has ended, or none of several checks shows anything
   */
  confirm(
    replica: Replica,
    relayed: RelayedConnection | null,
  ): Promise<boolean> {
    const key = `${runKeyOf(replica)} ${relayed?.peer ?? ''}`;
    const shared = this.#shared.get(key) ?? this.#start(key, replica, relayed);
    this.#shared.set(key, shared);
    return shared;
  }

  async #start(
    key: string,
    replica: Replica,
    relayed: RelayedConnection | null,
  ): Promise<boolean> {
    const { timers } = this.options;
    await timers.sleep(SHARED_WITHIN_MS);
    this.#shared.delete(key);
    await timers.sleep(CHECK_DELAY_MS);
    return this.#check(replica, relayed);
  }

  /** Checks the servers of a connection until a check shows whether they run. */
  async #check(
    replica: Replica,
    relayed: RelayedConnection | null,
  ): Promise<boolean> {
    const { timers } = this.options;
    for (let checks = 1; checks <= MAX_CHECKS; checks += 1) {
      const interval = timers.sleep(CHECK_TIMEOUT_MS);
      const result = await this.#checkOnce(replica, relayed);
      if (result !== 'unknown') {
        return result === 'alive';
      }
      await interval;
    }
    return false;
  }

  #checkOnce(
    replica: Replica,
    relayed: RelayedConnection | null,
  ): Promise<CheckResult> {
    const { timers, connector, relay } = this.options;
    const timeout = timers
      .sleep(CHECK_TIMEOUT_MS)
      .then(() => timers.nextTurn())
      .then((): CheckResult => 'unknown');
    const opened = relayed
      ? relay.connectThrough(relayed.peer, replica, CHECK_TIMEOUT_MS)
      : connector.connect(replica);
    const result = opened.then(
      (socket): CheckResult => {
        socket.destroy();
        return 'alive';
      },
      (err: unknown) =>
        relayed ? relayedResultOf(err) : resultOf(err, replica),
    );
    return Promise.race([result, timeout]);
  }
}
