import type { IncomingHttpHeaders } from 'node:http';

import { KeepAliveAgent } from './KeepAliveAgent.js';
import { sendHttpRequest } from './sendHttpRequest.js';

/** Connection limit and timeouts for the calls to one server. */
export interface JsonClientOptions {
  readonly connections: number;
  /** Timeout for opening a connection, in milliseconds. */
  readonly connectTimeoutMs: number;
  /** Timeout for a complete call, in milliseconds. */
  readonly timeoutMs: number;
}

/** A call with a JSON body (POST), or without a body (GET). */
export interface JsonCall {
  readonly path: string;
  readonly content?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
  /**
   * Additional time that the server may wait before it processes the call, in
   * milliseconds.
   */
  readonly waitMs?: number;
}

/** A complete response. */
export interface JsonReply {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  /**
   * Parses the body. It is parsed on demand, so that the status of a response
   * with an invalid body is still available.
   *
   * @returns null if the body is empty
   * @throws SyntaxError if the body is not valid JSON
   */
  readonly json: () => unknown;
}

/** Calls one server with JSON bodies, with a timeout for each call. */
export class JsonClient {
  readonly #agent: KeepAliveAgent;
  #lastAddress: string | null = null;

  /**
   * @param address - returns the host and port of the server, which may change; calls in
   *   progress end at the former ones
   * @param options - connection limit and timeouts
   */
  constructor(
    private readonly address: () => string,
    private readonly options: JsonClientOptions,
  ) {
    const { connections: maxConnections, connectTimeoutMs } = options;
    this.#agent = new KeepAliveAgent({ maxConnections, connectTimeoutMs });
  }

  /**
   * Makes a call.
   *
   * @throws Error if no complete response arrives in time
   */
  async call({
    path,
    content,
    headers = {},
    waitMs = 0,
  }: JsonCall): Promise<JsonReply> {
    const address = this.address();
    if (address !== this.#lastAddress) {
      this.#agent.closeIdle();
      this.#lastAddress = address;
    }
    const reply = await sendHttpRequest({
      address,
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
    const { status, headers: replyHeaders, body } = reply;
    const json = (): unknown =>
      body.length === 0 ? null : JSON.parse(body.toString('utf8'));
    return { status, headers: replyHeaders, json };
  }

  /** Closes all connections. */
  close(): void {
    this.#agent.destroy();
  }
}
