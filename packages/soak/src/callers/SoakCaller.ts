import type { Socket } from 'node:net';
import { buildConnector, Client } from 'undici';

import type { WorkOrder } from '../answers.js';
import type { ObservedResponse, SentRequest, SoakKind } from '../evidence.js';
import type {
  SoakCallerMetadata,
  SoakEnvironment,
} from '../SoakEnvironment.js';
import { soakNow } from '../soakNow.js';
import { workOf } from '../workOf.js';
import type { Continuation } from './continuations.js';
import { continuationAfter } from './continuations.js';

/** Part that all prompts begin with. */
export const COMMON_PART = 'c0';
/** Number of parts in the second place of the prompts. */
export const SUBJECTS = 12;

/** @returns the second part of a prompt, by the number of the request */
export function subjectOf(number: number): string {
  return `5${(number % SUBJECTS).toString(16)}`;
}

/** Address of a gateway, with its index and the incarnation of its process. */
export interface GatewayEndpoint {
  readonly address: string;
  readonly gateway: number;
  readonly incarnation: number;
}

/** Functions and state that all callers share. */
export interface CallerContext {
  readonly environment: SoakEnvironment;
  readonly random: () => number;
  /** Draws which streams callers break off and continue. */
  readonly streamRandom: () => number;
  /** Chooses a gateway from the latest list of addresses; null if it has none. */
  readonly chooseGateway: () => GatewayEndpoint | null;
  /** Whether an address is in the latest list of addresses. */
  readonly isListed: (address: string) => boolean;
  /** Returns an API key of an organisation. */
  readonly keyOf: (organisation: string) => string;
  /** Returns a new request id. */
  readonly nextId: () => string;
  /** Called before a request is sent. */
  readonly onSent: (request: SentRequest) => void;
  /** Called when a request has ended for the caller. */
  readonly onResponse: (response: ObservedResponse) => void;
}

/** Value of the Host header of all requests. */
export const CALLER_HOST = 'a.example';
const KINDS: readonly SoakKind[] = ['safe', 'unsafe', 'stream', 'resumable'];
const ORGANISATIONS: readonly string[] = ['org-1', 'org-2'];
const MIN_TIME_LIMIT_MS = 1500;
const TIME_LIMIT_RANGE_MS = 4000;
/** Time beyond the time limit that callers wait for a response in transit. */
const RESPONSE_MARGIN_MS = 400;
/** Probability that a caller abandons a request early. */
const ABANDON_PROBABILITY = 0.06;
/** Probability that a caller breaks a resumable stream off and continues it. */
const BREAK_PROBABILITY = 0.3;
/** Maximum time after which a stream is broken off. */
const MAX_BREAK_MS = 1000;
/** Share of the continued streams whose first request is named. */
const NAMED_SHARE = 0.85;
const MAX_WORK_MS = 150;
const MAX_EVENTS = 50;
const MAX_GAP_MS = 40;
const CONNECT_TIMEOUT_MS = 1000;
const NO_GATEWAY_RETRY_MS = 150;

/**
 * Client of one gateway that tells resets from regular ends.
 *
 * The HTTP client takes a reset for the end of a response without framing.
 */
export class ResetAwareClient extends Client {
  #wasReset = false;

  /** @param address - host and port of the gateway */
  constructor(address: string) {
    const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
    super(`http://${address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: (options, callback) => {
        connect(options, (...args) => {
          const [err, socket] = args;
          if (err === null) {
            this.#watch(socket);
          }
          callback(...args);
        });
      },
    });
  }

  /** Whether a connection was reset since the client was created. */
  get wasReset(): boolean {
    return this.#wasReset;
  }

  #watch(socket: Socket): void {
    socket.prependListener('error', (err: NodeJS.ErrnoException) => {
      this.#wasReset ||= err.code === 'ECONNRESET';
    });
    socket.prependListener('end', () => {
      // A reset that arrives together with the last bytes is reported as an end.
      if (socket.remoteAddress === undefined) {
        this.#wasReset = true;
      }
    });
  }
}

/** How a caller behaves. */
export interface CallerHabits {
  /** Mean pause between requests. */
  readonly meanThinkTimeMs: number;
  /**
   * Whether to reconnect when the address is no longer listed; otherwise the connection is
   * used until it closes.
   */
  readonly followsAddresses: boolean;
  /** Kinds of requests; all if omitted. */
  readonly kinds?: readonly SoakKind[];
  /** Minimum number of events of streams; 1 if omitted. */
  readonly minEvents?: number;
}

/** A caller that sends requests one at a time over a persistent connection. */
export class SoakCaller {
  #client: ResetAwareClient | null = null;
  #endpoint: GatewayEndpoint | null = null;
  /** Stream of which this caller requests the rest next. */
  #continuation: Continuation | null = null;
  #stopped = false;
  #requestCount = 0;

  /**
   * @param context - shared by all callers
   * @param habits - how this caller behaves
   */
  constructor(
    private readonly context: CallerContext,
    private readonly habits: CallerHabits,
  ) {}

  /** Sends requests until {@link SoakCaller.stop} is called. */
  async run(): Promise<void> {
    while (!this.#stopped) {
      await this.#sendNext();
      const pauseMs = this.habits.meanThinkTimeMs * 2 * this.context.random();
      await new Promise(resolve => setTimeout(resolve, pauseMs));
    }
    await this.#client?.destroy();
  }

  /** Stops the caller after its current request. */
  stop(): void {
    this.#stopped = true;
  }

  async #sendNext(): Promise<void> {
    const endpoint = this.#connect();
    if (!endpoint || !this.#client) {
      await new Promise(resolve => setTimeout(resolve, NO_GATEWAY_RETRY_MS));
      return;
    }
    const continued = this.#continuation;
    const request = continued
      ? this.#continueStream(continued, endpoint)
      : this.#drawRequest(endpoint);
    const { answer, isReusable } = await sendRequest(
      this.#client,
      this.context,
      request,
      this.#drawBreakMs(request) ?? this.#drawAbandonMs(request),
    );
    this.context.onResponse(answer);
    this.#continuation = continuationAfter(request, answer, continued);
    // The rest of a stream is requested at any gateway.
    if (!isReusable || this.#continuation) {
      await this.#disconnect();
    }
  }

  /** Creates the request for the rest of a stream. */
  #continueStream(
    { request, first, after }: Continuation,
    endpoint: GatewayEndpoint,
  ): SentRequest {
    const { streamRandom, nextId } = this.context;
    const passedMs = soakNow() - request.sentMs;
    return {
      ...request,
      id: nextId(),
      gateway: endpoint.gateway,
      incarnation: endpoint.incarnation,
      sentMs: soakNow(),
      timeLimitMs: Math.max(
        MIN_TIME_LIMIT_MS,
        Math.round(request.timeLimitMs - passedMs),
      ),
      continues: { first, after, isNamed: streamRandom() < NAMED_SHARE },
    };
  }

  /** Draws when a caller breaks a stream off, to continue it; null if it doesn't. */
  #drawBreakMs({ kind }: SentRequest): number | null {
    const { streamRandom } = this.context;
    return kind === 'resumable' && streamRandom() < BREAK_PROBABILITY
      ? MAX_BREAK_MS * streamRandom()
      : null;
  }

  #connect(): GatewayEndpoint | null {
    const isUnlisted =
      this.habits.followsAddresses &&
      this.#endpoint &&
      !this.context.isListed(this.#endpoint.address);
    if (isUnlisted === true) {
      void this.#disconnect();
    }
    if (this.#client && !this.#client.closed && !this.#client.destroyed) {
      return this.#endpoint;
    }
    this.#endpoint = this.context.chooseGateway();
    this.#client = this.#endpoint
      ? new ResetAwareClient(this.#endpoint.address)
      : null;
    return this.#endpoint;
  }

  async #disconnect(): Promise<void> {
    const client = this.#client;
    this.#client = null;
    this.#endpoint = null;
    await client?.destroy();
  }

  #drawRequest(endpoint: GatewayEndpoint): SentRequest {
    const { random, nextId } = this.context;
    const pick = <T>(items: readonly T[]): T =>
      items[Math.floor(random() * items.length)] as T;
    const { kinds = KINDS, minEvents = 1 } = this.habits;
    const kind = pick(kinds);
    const isStreaming = kind === 'stream' || kind === 'resumable';
    this.#requestCount += 1;
    const work: WorkOrder = {
      workMs: Math.round(MAX_WORK_MS * random()),
      events: isStreaming
        ? minEvents + Math.floor((MAX_EVENTS + 1 - minEvents) * random())
        : 0,
      gapMs: Math.round(MAX_GAP_MS * random()),
      ...(isStreaming
        ? { parts: [COMMON_PART, subjectOf(this.#requestCount)] }
        : {}),
    };
    return {
      id: nextId(),
      kind,
      gateway: endpoint.gateway,
      incarnation: endpoint.incarnation,
      sentMs: soakNow(),
      timeLimitMs: Math.round(
        MIN_TIME_LIMIT_MS + TIME_LIMIT_RANGE_MS * random(),
      ),
      target: `/${kind}/x?n=${Math.floor(1000 * random())}`,
      body: JSON.stringify(work),
      organisation: pick(ORGANISATIONS),
      version: null,
      continues: null,
    };
  }

  #drawAbandonMs({ timeLimitMs }: SentRequest): number {
    const { random } = this.context;
    return random() < ABANDON_PROBABILITY
      ? random() * 500
      : timeLimitMs + RESPONSE_MARGIN_MS;
  }
}

/** Metadata of a request for the rest of a stream. */
function continuedFields({
  continues,
}: SentRequest): Pick<SoakCallerMetadata, 'firstRequest' | 'lastEvent'> {
  return {
    lastEvent: continues?.after ?? null,
    firstRequest: continues?.isNamed === true ? continues.first : null,
  };
}

/** Result of sending one request. */
interface ExchangeResult {
  readonly answer: ObservedResponse;
  /** Whether the connection can be reused. */
  readonly isReusable: boolean;
}

/**
 * Sends one request and collects its response.
 *
 * @param client - connection to a gateway
 * @param context - `onSent` is called before the request is sent
 * @param request - the request
 * @param abandonAfterMs - time after which the caller aborts the request
 * @returns the response as far as it was received; never rejects
 */
export async function sendRequest(
  client: ResetAwareClient,
  context: Pick<CallerContext, 'environment' | 'keyOf' | 'onSent'>,
  request: SentRequest,
  abandonAfterMs: number,
): Promise<ExchangeResult> {
  const abort = new AbortController();
  let leftMs: number | null = null;
  const timer = setTimeout(() => {
    leftMs = soakNow();
    abort.abort();
  }, abandonAfterMs);
  let status: number | null = null;
  let stamp: string | null = null;
  let body = '';
  let whole = false;
  let isReusable = false;
  context.onSent(request);
  try {
    const res = await client.request({
      path: request.target,
      method: request.body === '' ? 'GET' : 'POST',
      headers: context.environment.callerHeaders({
        id: request.id,
        host: CALLER_HOST,
        key: context.keyOf(request.organisation),
        timeLimitMs: request.timeLimitMs,
        parts: workOf(request.body).parts ?? [],
        ...continuedFields(request),
      }),
      ...(request.body === '' ? {} : { body: request.body }),
      signal: abort.signal,
    });
    status = res.statusCode;
    stamp = context.environment.readStamp(res.headers);
    const isFramed =
      res.headers['content-length'] !== undefined ||
      res.headers['transfer-encoding'] !== undefined;
    for await (const chunk of res.body as AsyncIterable<Buffer>) {
      body += chunk.toString('utf8');
    }
    whole = isFramed || !client.wasReset;
    isReusable = res.headers.connection !== 'close';
  } catch {
    // The connection failed or the caller aborted. The invariants judge the
    // response from what was recorded.
    isReusable = false;
  } finally {
    clearTimeout(timer);
  }
  const answer: ObservedResponse = {
    id: request.id,
    endedMs: soakNow(),
    status,
    body,
    whole,
    leftMs,
    stamp,
  };
  return { answer, isReusable };
}
