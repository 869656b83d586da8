import { setTimeout as sleep } from 'node:timers/promises';
import type { handleUnaryCall, ServiceError } from '@grpc/grpc-js';
import { Server, ServerCredentials, status } from '@grpc/grpc-js';
import type { Member } from '@jujubecroft/decisions';
import { MemberStateWatch, rotated } from '@jujubecroft/decisions';
import type { proto } from '@jujubecroft/operator';
import { bindServer, GatewayPeerService } from '@jujubecroft/operator';
import type { InstanceId } from '@jujubecroft/types';

import type { GatewayContext } from '../GatewayContext.js';
import { isReady, ownAddress } from '../GatewayContext.js';
import type { FleetView } from './FleetView.js';
import { PeerClients } from './PeerClients.js';
import { PeerState } from './PeerState.js';

/** Time between rounds of exchanges. */
export const PEER_PERIOD_MS = 250;
/** What a call to an instance that is down, cut off or slow ends with. */
const UNREACHABLE: readonly status[] = [
  status.CANCELLED,
  status.DEADLINE_EXCEEDED,
  status.UNAVAILABLE,
];
/** Exchanges that fail in a row until a peer is suspected. */
const FAILURES_TO_SUSPECT = 2;
/**
 * Peers that get urgent news at once; they pass it on. Three steps reach sixty
 * instances; those that are missed learn it with the next rounds.
 */
const URGENT_FANOUT = 4;
/** News that come within this time are told together. */
const URGENT_PAUSE_MS = 40;
/** Rounds between tries of seeds that are not known as members. */
const SEED_EVERY_ROUNDS = 4;

/** Keeps instances in touch: membership, configuration, replicas and use. */
export class PeerLoop {
  readonly #clients = new PeerClients();
  readonly #state: PeerState;
  readonly #server = new Server();
  readonly #failures = new Map<InstanceId, number>();
  readonly #watch = new MemberStateWatch();
  readonly #pulling = new Set<string>();
  #timer: NodeJS.Timeout | null = null;
  #round = 0;
  #spreading: Promise<void> | null = null;

  constructor(
    private readonly context: GatewayContext,
    view: FleetView,
  ) {
    this.#state = new PeerState(context, view, state => {
      this.#pull(state);
    });
    view.onNews(() => {
      void this.spread();
    });
  }

  /** Listens for other instances and starts to call them. */
  async start(): Promise<void> {
    const { host, port } = this.context.settings.peers;
    const exchange: handleUnaryCall<proto.GatewayState, proto.GatewayState> = (
      call,
      callback,
    ) => {
      const reply = this.#state.tell(call.request);
      this.#state.take(call.request, false);
      callback(null, reply);
    };
    this.#server.addService(GatewayPeerService, { exchange });
    await bindServer(
      this.#server,
      `${host}:${port}`,
      ServerCredentials.createInsecure(),
    );
    this.#timer = setInterval(() => {
      this.#beat();
    }, PEER_PERIOD_MS);
    this.#beat();
  }

  stop(): void {
    if (this.#timer) {
      clearInterval(this.#timer);
    }
    this.#clients.close();
    this.#server.forceShutdown();
  }

  /**
   * Tells some members at once; each passes on what is new to it.
   *
   * News often comes in bursts, as when many entries lapse together. What comes
   * while a telling is due goes with it: told one by one, a hundred changes in
   * sixty instances would take seconds of every processor.
   */
  async spread(): Promise<void> {
    this.#spreading ??= this.#spreadSoon();
    await this.#spreading;
  }

  async #spreadSoon(): Promise<void> {
    await sleep(URGENT_PAUSE_MS);
    // What is learnt from now on may miss these exchanges.
    this.#spreading = null;
    const { membership, router } = this.context;
    await Promise.all(
      rotated(membership.serving, router.board.random)
        .slice(0, URGENT_FANOUT)
        .map(member => this.#exchange(member.peerAddress, member)),
    );
  }

  #beat(): void {
    const { membership, router, metrics } = this.context;
    this.#round += 1;
    membership.announce(
      isReady(this.context) ? ownAddress(this.context) : '',
      membership.self.peerAddress,
    );
    membership.tick();
    membership.targets().forEach(member => {
      void this.#exchange(member.peerAddress, member);
    });
    this.#trySeeds();
    router.onInstances(membership.instances);
    metrics.members.set(membership.instances.length);
    this.#noteStates();
  }

  /** Meets instances that no member has told of, as at the very start. */
  #trySeeds(): void {
    if (this.#round % SEED_EVERY_ROUNDS !== 1) {
      return;
    }
    const { membership, settings } = this.context;
    const known = new Set(
      membership.serving.map(({ peerAddress }) => peerAddress),
    );
    settings.seeds
      .filter(seed => !known.has(seed) && seed !== membership.self.peerAddress)
      .forEach(seed => {
        void this.#exchange(seed, null);
      });
  }

  async #exchange(address: string, member: Member | null): Promise<void> {
    try {
      const reply = await this.#clients.exchange(
        address,
        this.#state.tell(null),
      );
      if (member) {
        this.#failures.delete(member.id);
      }
      this.#state.take(reply, true);
    } catch (err) {
      this.#noteFailure(address, err);
      this.#onFailure(member);
    }
  }

  /** A peer out of reach is the membership's matter; anything else is a fault of ours. */
  #noteFailure(address: string, err: unknown): void {
    const code = (err as Partial<ServiceError>).code;
    if (code !== undefined && UNREACHABLE.includes(code)) {
      return;
    }
    const error = err instanceof Error ? err.message : String(err);
    this.context.log.write('unexpectedError', { peer: address, error });
  }

  #onFailure(member: Member | null): void {
    if (!member) {
      return;
    }
    const failures = (this.#failures.get(member.id) ?? 0) + 1;
    this.#failures.set(member.id, failures);
    if (failures >= FAILURES_TO_SUSPECT) {
      this.context.membership.onUnreachable(member.id);
      return;
    }
    // The channel may have gone silent alone; asked again at once over a new
    // one. In a large fleet its turn would come again only after many seconds.
    void this.#exchange(member.peerAddress, member);
  }

  /** Asks a peer that is ahead for what this instance lacks. */
  #pull({ heartbeat }: proto.GatewayState): void {
    const address = heartbeat?.peerAddress ?? '';
    if (address === '' || this.#pulling.has(address)) {
      return;
    }
    this.#pulling.add(address);
    void this.#exchange(address, null).finally(() => {
      this.#pulling.delete(address);
    });
  }

  #noteStates(): void {
    const { membership, log } = this.context;
    this.#watch.look(membership.members).forEach(change => {
      log.write('memberChanged', { ...change });
    });
  }
}
