import type { ChannelCredentials, ClientReadableStream } from '@grpc/grpc-js';
import { credentials, Metadata } from '@grpc/grpc-js';

import type * as proto from './generated/jujubecroft.js';
import { OperatorClient } from './generated/jujubecroft.js';
import { unary } from './unary.js';

/** Time limit for each unary call. */
const CALL_TIMEOUT_MS = 10_000;

/** An operator's connection to one instance. */
export class OperatorConnection {
  readonly #client: OperatorClient;
  readonly #metadata = new Metadata();

  /**
   * @param address - host and port of the instance's control server
   * @param token - the operator's token
   * @param creds - transport credentials; insecure where omitted
   */
  constructor(
    address: string,
    token: string,
    creds: ChannelCredentials = credentials.createInsecure(),
  ) {
    this.#client = new OperatorClient(address, creds);
    this.#metadata.set('authorization', `Bearer ${token}`);
  }

  declare(req: proto.DeclareRequest): Promise<proto.ChangeReply> {
    const client = this.#client;
    return unary(
      client.declare.bind(client),
      req,
      this.#metadata,
      CALL_TIMEOUT_MS,
    );
  }

  remove(req: proto.RemoveRequest): Promise<proto.ChangeReply> {
    const client = this.#client;
    return unary(
      client.remove.bind(client),
      req,
      this.#metadata,
      CALL_TIMEOUT_MS,
    );
  }

  drain(req: proto.DrainRequest): Promise<proto.ChangeReply> {
    const client = this.#client;
    return unary(
      client.drain.bind(client),
      req,
      this.#metadata,
      CALL_TIMEOUT_MS,
    );
  }

  list(kind: proto.EntityKind): Promise<proto.ListReply> {
    const client = this.#client;
    return unary(
      client.list.bind(client),
      { kind },
      this.#metadata,
      CALL_TIMEOUT_MS,
    );
  }

  status(): Promise<proto.StatusReply> {
    const client = this.#client;
    return unary(
      client.status.bind(client),
      {},
      this.#metadata,
      CALL_TIMEOUT_MS,
    );
  }

  audit(req: proto.AuditRequest): Promise<proto.AuditReply> {
    const client = this.#client;
    return unary(
      client.audit.bind(client),
      req,
      this.#metadata,
      CALL_TIMEOUT_MS,
    );
  }

  /** Opens a stream of decision events, which the caller has to cancel. */
  watch(req: proto.WatchRequest): ClientReadableStream<proto.DecisionEvent> {
    return this.#client.watch(req, this.#metadata);
  }

  close(): void {
    this.#client.close();
  }
}
