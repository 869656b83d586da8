import { GatewayState } from '@jujubecroft/operator/peers';

import type { PeerLink, PeerReceiver } from '../../src/ports/PeerLink.js';
import { peerAddressOf } from './virtualDeployment.js';
import type { VirtualLink } from './VirtualLink.js';
import type { VirtualProcess, VirtualTime } from './VirtualTime.js';

/** Network delay between two instances, in one direction. */
const ONE_WAY_MS = 1;
/** Timeout of a pull. */
const PULL_TIMEOUT_MS = 500;

/** An instance on the network. */
export interface VirtualPeer {
  readonly name: string;
  readonly process: VirtualProcess;
  readonly link: VirtualLink;
}

/** The network between instances, in virtual time. */
export class VirtualPeers {
  readonly #peers = new Map<string, VirtualPeer>();
  readonly #receivers = new Map<string, PeerReceiver>();
  /** Instances that no other one can reach, and that reach no other one. */
  readonly isolated = new Set<VirtualProcess>();

  /**
   * @param time - the clock of all instances
   * @param isLost - draws whether the next datagram gets lost
   */
  constructor(
    private readonly time: VirtualTime,
    private readonly isLost: () => boolean,
  ) {}

  /** Connects an instance, and returns its link to the others. */
  connect(self: VirtualPeer): PeerLink {
    const address = peerAddressOf(self.name);
    this.#peers.set(address, self);
    return {
      listen: receiver => {
        this.#receivers.set(address, receiver);
        return Promise.resolve();
      },
      send: (bytes, to) => {
        const other = this.#peers.get(to);
        if (other && !this.isLost()) {
          this.#deliver(self, other, bytes.length, () =>
            this.#receivers.get(to)?.onDatagram(bytes, address),
          );
        }
      },
      pull: (to, state) => this.#pull(self, to, state),
      close: () => Promise.resolve(),
    };
  }

  #pull(
    self: VirtualPeer,
    to: string,
    state: GatewayState,
  ): Promise<GatewayState> {
    return new Promise((resolve, reject) => {
      this.time.after(
        PULL_TIMEOUT_MS,
        () => {
          reject(new Error('no answer in time'));
        },
        self.process,
      );
      const other = this.#peers.get(to);
      if (!other) {
        return;
      }
      const request = GatewayState.encode(state).finish();
      this.#deliver(self, other, request.length, () => {
        const receiver = this.#receivers.get(to);
        const reply = receiver?.onPull(GatewayState.decode(request));
        if (reply) {
          const bytes = GatewayState.encode(reply).finish();
          this.#deliver(other, self, bytes.length, () => {
            resolve(GatewayState.decode(bytes));
          });
        }
      });
    });
  }

  /** Runs a callback at an instance once a number of bytes have reached it. */
  #deliver(
    from: VirtualPeer,
    to: VirtualPeer,
    bytes: number,
    run: () => void,
  ): void {
    if (this.isolated.has(from.process) || this.isolated.has(to.process)) {
      return;
    }
    const arrivesMs = from.link.sendTo(to.link, bytes, ONE_WAY_MS);
    this.time.after(arrivesMs, run, to.process, 'read');
  }
}
