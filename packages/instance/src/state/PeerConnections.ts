import type { ChannelCredentials } from '@grpc/grpc-js';
import { Metadata } from '@grpc/grpc-js';
import type { proto } from '@jujubecroft/operator';
import type { proto as peers } from '@jujubecroft/operator/peers';
import { ClientCache, PeerClient, unary } from '@jujubecroft/operator';
import type { Row, TableWrite } from '@jujubecroft/stores';

import type { WriteOutcome } from '../claims/WriteBatcher.js';

const DEFAULT_TIMEOUT_MS = 900;
const CLAIM_TIMEOUT_MS = 3000;
const CONFIGURATION_TIMEOUT_MS = 3000;

/** gRPC clients for other instances, created on first use. */
export class PeerConnections {
  readonly #clients: ClientCache<PeerClient>;

  constructor(credentials: ChannelCredentials) {
    this.#clients = new ClientCache(
      address => new PeerClient(address, credentials),
    );
  }

  heartbeat(
    address: string,
    message: peers.HeartbeatMessage,
  ): Promise<peers.HeartbeatMessage> {
    const client = this.#clients.clientFor(address);
    return unary(
      client.heartbeat.bind(client),
      message,
      new Metadata(),
      DEFAULT_TIMEOUT_MS,
    );
  }

  /**
   * Asks an instance to probe another one.
   *
   * @param helper - peer address of the instance that probes
   * @param target - peer address of the instance that is probed
   * @returns whether the helper reached the target
   */
  async probeFor(helper: string, target: string): Promise<boolean> {
    const client = this.#clients.clientFor(helper);
    const reply = await unary(
      client.probeFor.bind(client),
      { peerAddress: target },
      new Metadata(),
      2 * DEFAULT_TIMEOUT_MS,
    );
    return reply.reachable;
  }

  reportDemand(
    address: string,
    report: proto.DemandReport,
  ): Promise<proto.ShareReply> {
    const client = this.#clients.clientFor(address);
    return unary(
      client.reportDemand.bind(client),
      report,
      new Metadata(),
      DEFAULT_TIMEOUT_MS,
    );
  }

  /**
   * Asks a collector to write a claim.
   *
   * @param address - peer address of the collector
   * @param write - claim row with its version condition
   * @returns undefined if the row was written, else the conflicting row
   * @throws Error if the call failed; the row may have been written
   *   nevertheless
   */
  async recordClaim(address: string, write: TableWrite): Promise<WriteOutcome> {
    const client = this.#clients.clientFor(address);
    const reply = await unary(
      client.recordClaim.bind(client),
      {
        key: write.key,
        valueJson: JSON.stringify(write.value),
        ifAbsent: write.ifVersion === 0,
      },
      new Metadata(),
      CLAIM_TIMEOUT_MS,
    );
    return reply.written
      ? undefined
      : (JSON.parse(reply.conflictJson) as Row | null);
  }

  configuration(
    address: string,
    afterRevision: number,
  ): Promise<proto.ConfigurationReply> {
    const client = this.#clients.clientFor(address);
    return unary(
      client.configuration.bind(client),
      { afterRevision },
      new Metadata(),
      CONFIGURATION_TIMEOUT_MS,
    );
  }

  /**
   * Closes the channels to all other addresses, which are no longer members.
   */
  keepOnly(addresses: ReadonlySet<string>): void {
    this.#clients.keepOnly(addresses);
  }

  close(): void {
    this.#clients.close();
  }
}
