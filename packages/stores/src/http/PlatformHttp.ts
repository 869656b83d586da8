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
import { routerError } from '@jujubecroft/types';

/** How patiently the platform is called. */
export interface PlatformHttpOptions {
  readonly url: string;
  readonly timeoutMs: number;
  readonly maxAttempts: number;
  /** Consecutive failures after which calls fail at once. */
  readonly breakAfter: number;
  readonly halfOpenAfterMs: number;
}

export const DEFAULT_PLATFORM_HTTP = {
  timeoutMs: 1500,
  maxAttempts: 2,
  breakAfter: 5,
  halfOpenAfterMs: 2000,
} as const satisfies Omit<PlatformHttpOptions, 'url'>;

/** Body and status of one reply. */
export interface PlatformReply {
  readonly status: number;
  readonly body: string;
}

interface PlatformCall {
  readonly method: 'GET' | 'POST' | 'PUT';
  readonly path: string;
  readonly body?: string;
  /** A call that is safe to send twice. */
  readonly repeatable: boolean;
}

const SERVER_ERROR = 500;
const INITIAL_BACKOFF_MS = 50;

/**
 * Calls the platform over HTTP with a timeout, bounded retries with jitter and
 * a circuit breaker.
 *
 * Guards against an outage that every instance makes longer by retrying: after
 * some failures in a row calls fail at once, and one probe at a time finds out
 * whether the platform is back.
 */
export class PlatformHttp {
  readonly #agent: Agent;
  readonly #once: IPolicy;
  readonly #repeated: IPolicy;

  constructor(private readonly options: PlatformHttpOptions) {
    this.#agent = new Agent({ connections: 8, pipelining: 1 });
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
   * @returns status and body of any reply below 500
   * @throws RouterError `platformUnavailable` when no such reply came; the
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
