import { KeepAliveAgent } from './KeepAliveAgent.js';
import { requestWhole } from './requestWhole.js';

/** How one server is called. */
export interface JsonClientOptions {
  readonly connections: number;
  /** Bound on opening a connection, in milliseconds. */
  readonly connectTimeoutMs: number;
  /** Bound on a whole call, in milliseconds. */
  readonly timeoutMs: number;
}

/** A call with a body of JSON; a read where it has none. */
export interface JsonCall {
  readonly path: string;
  readonly content?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
  /** Time that the server may wait before it works on the call, in milliseconds. */
  readonly waitMs?: number;
}

export interface JsonReply {
  readonly status: number;
  /**
   * Parses the body, once the status says that it is worth it.
   *
   * @returns null where the body is empty
   * @throws SyntaxError where it is no JSON
   */
  readonly json: () => unknown;
}

/** Calls one server with bodies of JSON, each with a bound of its own. */
export class JsonClient {
  readonly #agent: KeepAliveAgent;

  /**
   * @param address - host and port of the server
   * @param options - bounds
   */
  constructor(
    private readonly address: string,
    private readonly options: JsonClientOptions,
  ) {
    const { connections: maxConnections, connectTimeoutMs } = options;
    this.#agent = new KeepAliveAgent({ maxConnections, connectTimeoutMs });
  }

  /**
   * Makes a call.
   *
   * @throws Error when no whole answer came in time
   */
  async call({
    path,
    content,
    headers = {},
    waitMs = 0,
  }: JsonCall): Promise<JsonReply> {
    const { status, body } = await requestWhole({
      address: this.address,
      agent: this.#agent,
      method: content === undefined ? 'GET' : 'POST',
      path,
      headers,
      ...(content === undefined
        ? {}
        : {
            type: 'application/json',
            body: Buffer.from(JSON.stringify(content)),
          }),
      timeoutMs: this.options.timeoutMs + waitMs,
    });
    const json = (): unknown =>
      body.length === 0 ? null : JSON.parse(body.toString('utf8'));
    return { status, json };
  }

  close(): void {
    this.#agent.destroy();
  }
}
