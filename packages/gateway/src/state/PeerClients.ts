import { credentials, Metadata, status } from '@grpc/grpc-js';
import type { proto } from '@jujubecroft/operator';
import { ClientCache, GatewayPeerClient, unary } from '@jujubecroft/operator';

/** Bound on one exchange; peers are a few milliseconds away. */
const CALL_TIMEOUT_MS = 500;
/** A new connection is tried again after this, not after the library's second. */
const RECONNECT_MS = 200;
const MAX_RECONNECT_MS = 800;

function createClient(address: string): GatewayPeerClient {
  return new GatewayPeerClient(
    // The scheme keeps the library from looking names up.
    `ipv4:${address}`,
    credentials.createInsecure(),
    {
      // Without this a new client would get the old, silent connection.
      'grpc.use_local_subchannel_pool': 1,
      'grpc.initial_reconnect_backoff_ms': RECONNECT_MS,
      'grpc.max_reconnect_backoff_ms': MAX_RECONNECT_MS,
      'grpc.enable_http_proxy': 0,
    },
  );
}

/** gRPC channels to other instances, opened at first use. */
export class PeerClients {
  readonly #clients = new ClientCache(createClient);
  #closed = false;

  /**
   * Exchanges states with another instance.
   *
   * Guards against channels that fall silent while new ones work: it shows as a
   * timeout, after which the channel is dropped and the next call opens another.
   * Once closed nothing is opened any more: calls that end with the closing are
   * tried again, and a channel of theirs would keep the process from ending.
   *
   * @param address - host and port of the other
   * @param state - what this instance says
   * @returns what the other says
   * @throws ServiceError when no answer came in time
   */
  async exchange(
    address: string,
    state: proto.GatewayState,
  ): Promise<proto.GatewayState> {
    if (this.#closed) {
      throw Object.assign(new Error('closed'), { code: status.CANCELLED });
    }
    const client = this.#clients.of(address);
    try {
      return await unary(
        client.exchange.bind(client),
        state,
        new Metadata(),
        CALL_TIMEOUT_MS,
      );
    } catch (err) {
      this.#clients.drop(address);
      throw err;
    }
  }

  /** Closes all channels for good. */
  close(): void {
    this.#closed = true;
    this.#clients.close();
  }
}
