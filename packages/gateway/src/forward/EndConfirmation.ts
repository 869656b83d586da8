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
/** Timeout of a check, in milliseconds. */
const CHECK_TIMEOUT_MS = 400;

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
   * @returns false if that can't be shown
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

  async #check(
    replica: Replica,
    relayed: RelayedConnection | null,
  ): Promise<boolean> {
    const { timers, connector, relay } = this.options;
    const timeout = timers
      .sleep(CHECK_TIMEOUT_MS)
      .then(() => timers.nextTurn())
      .then(() => false);
    const opened = relayed
      ? relay.connectThrough(relayed.peer, replica, CHECK_TIMEOUT_MS)
      : connector.connect(replica);
    const isAlive = opened.then(
      socket => {
        socket.destroy();
        return true;
      },
      () => false,
    );
    return Promise.race([isAlive, timeout]);
  }
}
