import type { IPolicy } from 'cockatiel';
import {
  ConsecutiveBreaker,
  ExponentialBackoff,
  circuitBreaker,
  handleAll,
  retry,
  wrap,
} from 'cockatiel';
import { Agent, request } from 'undici';
import { connectResetAware } from '@jujubecroft/backends';
import { routerError } from '@jujubecroft/types';

/** Address, timeouts and retries of calls to the platform. */
export interface PlatformHttpOptions {
  readonly url: string;
  /** Time limit for the headers, and for each pause in the body, of one reply. */
  readonly timeoutMs: number;
  /** Retries of a repeatable call, after its first attempt. */
  readonly maxAttempts: number;
  /** Number of consecutive failures that open the circuit breaker. */
  readonly breakAfter: number;
  /** Time after which an open circuit breaker lets a probe through. */
  readonly halfOpenAfterMs: number;
}

export const DEFAULT_PLATFORM_HTTP = {
  timeoutMs: 1500,
  maxAttempts: 2,
  breakAfter: 5,
  halfOpenAfterMs: 2000,
} as const satisfies Omit<PlatformHttpOptions, 'url'>;

/** Status and body of one reply. */
export interface PlatformReply {
  readonly status: number;
  readonly body: string;
}

interface PlatformCall {
  readonly method: 'GET' | 'POST' | 'PUT';
  readonly path: string;
  readonly body?: string;
  /** Whether the call may be sent more than once. */
  readonly repeatable: boolean;
}

const SERVER_ERROR = 500;
const INITIAL_BACKOFF_MS = 50;
const CONNECT_TIMEOUT_MS = 10_000;

/**
 * Calls the platform over HTTP with a timeout, bounded retries with jitter and
 * a circuit breaker.
 *
 * The circuit breaker keeps the retries of all instances from prolonging an outage:
 * after several consecutive failures calls fail immediately, and one probe at a time
 * checks whether the platform is available again.
 */
export class PlatformHttp {
  readonly #agent: Agent;
  /** Policy for calls that may be sent only once. */
  readonly #once: IPolicy;
  /** Policy for repeatable calls. */
  readonly #repeated: IPolicy;

  constructor(private readonly options: PlatformHttpOptions) {
    this.#agent = new Agent({
      connections: 8,
      pipelining: 1,
      connect: connectResetAware(CONNECT_TIMEOUT_MS),
    });
    const breaker = circuitBreaker(handleAll, {
      halfOpenAfter: options.halfOpenAfterMs,
      breaker: new ConsecutiveBreaker(options.breakAfter),
    });
    this.#once = breaker;
    this.#repeated = wrap(
      retry(handleAll, {
        maxAttempts: options.maxAttempts,
        backoff: new ExponentialBackoff({ initialDelay: INITIAL_BACKOFF_MS }),
      }),
      breaker,
    );
  }

  /**
   * Sends one call.
   *
   * @param call - method, path, body and whether it may be repeated
   * @returns status and body of a reply with a status below 500
   * @throws RouterError `platformUnavailable` when there was no such reply; the
   *   call may have taken effect
   */
  async send(call: PlatformCall): Promise<PlatformReply> {
    const policy = call.repeatable ? this.#repeated : this.#once;
    try {
      return await policy.execute(() => this.#attempt(call));
    } catch (cause) {
      throw routerError(
        'platformUnavailable',
        `The platform did not answer ${call.method} ${call.path}.`,
        { cause },
      );
    }
  }

  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #attempt(call: PlatformCall): Promise<PlatformReply> {
    const res = await request(new URL(call.path, this.options.url), {
      method: call.method,
      dispatcher: this.#agent,
      headersTimeout: this.options.timeoutMs,
      bodyTimeout: this.options.timeoutMs,
      ...(call.body === undefined
        ? {}
        : {
            body: call.body,
            headers: { 'content-type': 'application/json' },
          }),
    });
    const body = await res.body.text();
    if (res.statusCode >= SERVER_ERROR) {
      throw new Error(`status ${res.statusCode}`);
    }
    return { status: res.statusCode, body };
  }
}
