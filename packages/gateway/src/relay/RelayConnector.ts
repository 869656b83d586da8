import type { Socket } from 'node:net';
import type { Member, Membership, RelayPeers } from '@jujubecroft/decisions';
import type { BackendServerId, InstanceId, Replica } from '@jujubecroft/types';

import { firstOpen } from './firstOpen.js';
import { openTunnel, TunnelError } from './openTunnel.js';
import type { RelayedConnection } from './RelayedConnection.js';

/** Maximum number of instances that are asked for one connection. */
const MAX_PEERS = 4;
/**
 * Number of instances that can't connect after which the replica itself counts
 * as unreachable.
 */
const MAX_UNREACHABLE = 2;
/** Time after which the next instance is asked as well, in milliseconds. */
const STAGGER_MS = 60;
const BAD_GATEWAY = 502;

/** Opens connections to replicas through other instances. */
export class RelayConnector {
  readonly #relayed = new WeakMap<Socket, RelayedConnection>();
  #tunnelCount = 0;
  /** Number of open connections by replica. */
  readonly #open = new Map<BackendServerId, number>();

  /**
   * @param membership - other instances
   * @param relays - which of them suit
   */
  constructor(
    private readonly membership: Membership,
    private readonly relays: RelayPeers,
  ) {}

  /** Number of open connections through other instances. */
  get openCount(): number {
    return [...this.#open.values()].reduce((sum, count) => sum + count, 0);
  }

  /** Whether connections to a replica go through other instances. */
  hasConnectionsTo(id: BackendServerId): boolean {
    return (this.#open.get(id) ?? 0) > 0;
  }

  /** Returns how a connection is relayed; null if it is direct. */
  relayOf(socket: Socket): RelayedConnection | null {
    return this.#relayed.get(socket) ?? null;
  }

  /** Whether a connection is direct, or goes through an instance that still serves. */
  isUsable(socket: Socket): boolean {
    const relayed = this.#relayed.get(socket);
    return (
      relayed === undefined ||
      this.membership.serving.some(({ id }) => id === relayed.peer)
    );
  }

  /**
   * Opens a connection to a replica through another instance.
   *
   * @param replica - the replica
   * @param signal - aborts the attempt
   * @returns the connection
   * @throws Error if none of the instances that were asked can connect
   */
  async connect(replica: Replica, signal: AbortSignal): Promise<Socket> {
    const abort = new AbortController();
    const { self, serving } = this.membership;
    const peers = this.relays
      .order(serving, {
        ownDomain: self.failureDomain,
        replicaDomain: replica.failureDomain,
      })
      .slice(0, MAX_PEERS);
    const unreachable: Member[] = [];
    const open = async (
      peer: Member,
      attemptSignal: AbortSignal,
    ): Promise<Socket> => {
      try {
        return await this.#connectThrough(peer, replica, attemptSignal);
      } catch (err) {
        if (err instanceof TunnelError && err.status === BAD_GATEWAY) {
          unreachable.push(peer);
          if (unreachable.length >= MAX_UNREACHABLE) {
            abort.abort();
          }
        } else if (!attemptSignal.aborted) {
          this.relays.onFailed(peer.id);
        }
        throw err;
      }
    };
    const socket = await firstOpen(
      peers.map(peer => attemptSignal => open(peer, attemptSignal)),
      STAGGER_MS,
      AbortSignal.any([signal, abort.signal]),
    );
    // Others could not reach a replica that is reachable.
    unreachable.forEach(({ id }) => {
      this.relays.onFailed(id);
    });
    return socket;
  }

  /**
   * Opens a connection to a replica through one instance.
   *
   * @param peer - the instance
   * @param replica - the replica
   * @param timeoutMs - timeout in milliseconds
   * @returns the connection
   * @throws Error if the instance no longer serves or can't connect in time
   */
  async connectThrough(
    peer: InstanceId,
    replica: Replica,
    timeoutMs: number,
  ): Promise<Socket> {
    const member = this.membership.serving.find(({ id }) => id === peer);
    if (!member) {
      throw new Error('the other instance no longer serves');
    }
    return this.#connectThrough(
      member,
      replica,
      AbortSignal.timeout(timeoutMs),
    );
  }

  async #connectThrough(
    { id: peer, peerAddress }: Member,
    replica: Replica,
    signal: AbortSignal,
  ): Promise<Socket> {
    this.#tunnelCount += 1;
    const tunnel = `${this.membership.self.instance}-${this.#tunnelCount}`;
    const socket = await openTunnel({ peerAddress, replica, tunnel, signal });
    this.#relayed.set(socket, { peer, tunnel });
    this.#count(replica.id, 1);
    this.relays.onOpened(peer);
    socket.once('close', () => {
      this.#count(replica.id, -1);
      this.relays.onClosed(peer);
    });
    return socket;
  }

  #count(id: BackendServerId, change: number): void {
    const count = (this.#open.get(id) ?? 0) + change;
    if (count > 0) {
      this.#open.set(id, count);
    } else {
      this.#open.delete(id);
    }
  }
}
