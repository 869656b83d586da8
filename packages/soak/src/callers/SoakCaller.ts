import { Client } from 'undici';

import type { WorkOrder } from '../answers.js';
import type { SeenAnswer, SentRequest, SoakKind } from '../evidence.js';
import type { SoakEnvironment } from '../SoakEnvironment.js';
import { soakNow } from '../soakNow.js';

/** A gateway as a caller finds it. */
export interface SoakEntry {
  readonly address: string;
  readonly gateway: number;
  readonly incarnation: number;
}

/** What callers share. */
export interface CallerWorld {
  readonly environment: SoakEnvironment;
  readonly random: () => number;
  /** Chooses a gateway, as the newest answer of addresses says; null where there is none. */
  readonly chooseEntry: () => SoakEntry | null;
  /** Whether callers that follow addresses should leave this one. */
  readonly isListed: (address: string) => boolean;
  readonly keyOf: (organisation: string) => string;
  readonly nextId: () => string;
  readonly onSent: (request: SentRequest) => void;
  readonly onAnswer: (answer: SeenAnswer) => void;
}

export const CALLER_HOST = 'a.example';
const KINDS: readonly SoakKind[] = ['safe', 'unsafe', 'stream', 'resumable'];
const ORGANISATIONS: readonly string[] = ['org-1', 'org-2'];
const MIN_LIMIT_MS = 1500;
const LIMIT_SPAN_MS = 4000;
/** Callers wait this much longer than they say, for an answer on its way. */
const PATIENCE_MS = 400;
const LEAVE_CHANCE = 0.06;
const MAX_WORK_MS = 150;
const MAX_EVENTS = 50;
const MAX_GAP_MS = 40;
const CONNECT_TIMEOUT_MS = 1000;
const NO_ENTRY_PAUSE_MS = 150;

/** One caller with one kept connection, asking again and again. */
export class SoakCaller {
  #client: Client | null = null;
  #entry: SoakEntry | null = null;
  #stopped = false;

  /**
   * @param world - what callers share
   * @param thinkMs - mean pause between requests
   * @param follows - whether it leaves addresses that are no longer told; others
   *   use their connection until it ends
   */
  constructor(
    private readonly world: CallerWorld,
    private readonly thinkMs: number,
    private readonly follows: boolean,
  ) {}

  async run(): Promise<void> {
    while (!this.#stopped) {
      await this.#once();
      const pauseMs = this.thinkMs * 2 * this.world.random();
      await new Promise(resolve => setTimeout(resolve, pauseMs));
    }
    await this.#client?.destroy();
  }

  stop(): void {
    this.#stopped = true;
  }

  async #once(): Promise<void> {
    const entry = this.#connect();
    if (!entry || !this.#client) {
      await new Promise(resolve => setTimeout(resolve, NO_ENTRY_PAUSE_MS));
      return;
    }
    const request = this.#draw(entry);
    const { answer, keeps } = await exchange(
      this.#client,
      this.world,
      request,
      this.#drawLeave(request),
    );
    this.world.onAnswer(answer);
    if (!keeps) {
      await this.#drop();
    }
  }

  #connect(): SoakEntry | null {
    const left =
      this.follows && this.#entry && !this.world.isListed(this.#entry.address);
    if (left === true) {
      void this.#drop();
    }
    if (this.#client && !this.#client.closed && !this.#client.destroyed) {
      return this.#entry;
    }
    this.#entry = this.world.chooseEntry();
    this.#client = this.#entry
      ? new Client(`http://${this.#entry.address}`, {
          pipelining: 1,
          connectTimeout: CONNECT_TIMEOUT_MS,
          headersTimeout: 0,
          bodyTimeout: 0,
        })
      : null;
    return this.#entry;
  }

  async #drop(): Promise<void> {
    const client = this.#client;
    this.#client = null;
    this.#entry = null;
    await client?.destroy();
  }

  #draw(entry: SoakEntry): SentRequest {
    const { random, nextId } = this.world;
    const pick = <T>(items: readonly T[]): T =>
      items[Math.floor(random() * items.length)] as T;
    const kind = pick(KINDS);
    const streams = kind === 'stream' || kind === 'resumable';
    const work: WorkOrder = {
      workMs: Math.round(MAX_WORK_MS * random()),
      events: streams ? 1 + Math.floor(MAX_EVENTS * random()) : 0,
      gapMs: Math.round(MAX_GAP_MS * random()),
    };
    return {
      id: nextId(),
      kind,
      gateway: entry.gateway,
      incarnation: entry.incarnation,
      sentMs: soakNow(),
      timeLimitMs: Math.round(MIN_LIMIT_MS + LIMIT_SPAN_MS * random()),
      target: `/${kind}/x?n=${Math.floor(1000 * random())}`,
      body: JSON.stringify(work),
      organisation: pick(ORGANISATIONS),
      version: null,
    };
  }

  #drawLeave({ timeLimitMs }: SentRequest): number {
    const { random } = this.world;
    return random() < LEAVE_CHANCE ? random() * 500 : timeLimitMs + PATIENCE_MS;
  }
}

interface Exchanged {
  readonly answer: SeenAnswer;
  /** Whether the connection may be used again. */
  readonly keeps: boolean;
}

/**
 * Sends one request and takes its answer.
 *
 * @param client - connection to a gateway
 * @param world - told of the request before it is sent
 * @param request - the request
 * @param leaveMs - time after which the caller breaks off
 * @returns what came; never rejects
 */
export async function exchange(
  client: Client,
  world: Pick<CallerWorld, 'environment' | 'keyOf' | 'onSent'>,
  request: SentRequest,
  leaveMs: number,
): Promise<Exchanged> {
  const abort = new AbortController();
  let leftMs: number | null = null;
  const timer = setTimeout(() => {
    leftMs = soakNow();
    abort.abort();
  }, leaveMs);
  let status: number | null = null;
  let mark: string | null = null;
  let text = '';
  let whole = false;
  let keeps = false;
  world.onSent(request);
  try {
    const res = await client.request({
      path: request.target,
      method: request.body === '' ? 'GET' : 'POST',
      headers: world.environment.callerHeaders({
        id: request.id,
        host: CALLER_HOST,
        key: world.keyOf(request.organisation),
        timeLimitMs: request.timeLimitMs,
      }),
      ...(request.body === '' ? {} : { body: request.body }),
      signal: abort.signal,
    });
    status = res.statusCode;
    mark = world.environment.readMark(res.headers);
    for await (const chunk of res.body as AsyncIterable<Buffer>) {
      text += chunk.toString('utf8');
    }
    whole = true;
    keeps = res.headers.connection !== 'close';
  } catch {
    // Cut, refused or left; the evidence says which, and the checks judge it.
    keeps = false;
  } finally {
    clearTimeout(timer);
  }
  const answer: SeenAnswer = {
    id: request.id,
    endedMs: soakNow(),
    status,
    body: text,
    whole,
    leftMs,
    mark,
  };
  return { answer, keeps };
}
