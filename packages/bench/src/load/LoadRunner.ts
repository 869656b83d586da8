import type { LoadSettings, LoadStream } from '@jujubecroft/settings';
import { createRandom } from '@jujubecroft/types';

import { AddressBook } from './AddressBook.js';
import type { CallerAnswer } from './CallerAnswer.js';
import { brokenAnswer } from './CallerAnswer.js';
import { callChat } from './callChat.js';
import { callService } from './callService.js';
import { nextArrivalMs } from './nextArrivalMs.js';

/** One finished call, with what is needed to check the promises afterwards. */
export interface FinishedCall {
  readonly stream: LoadStream;
  readonly answer: CallerAnswer;
  readonly idempotencyKey: string;
}

/** Called after each finished call. */
export type CallObserver = (call: FinishedCall) => void;

const MS_PER_SECOND = 1000;
const CHARACTERS_PER_TOKEN = 4;
const SHARED_PREFIX = 'You answer briefly and only from the given facts. ';
const MAX_CONNECT_ATTEMPTS = 3;

/**
 * Sends open-loop load: the calls of a stream start at their arrival times,
 * whether or not earlier calls have ended.
 */
export class LoadRunner {
  readonly #addresses: AddressBook;
  readonly #pending = new Set<Promise<void>>();
  #callCount = 0;

  constructor(
    private readonly settings: LoadSettings,
    private readonly observe: CallObserver,
  ) {
    this.#addresses = new AddressBook(settings.entryUrls);
  }

  /** Runs all streams to their end and waits for the last call. */
  async run(): Promise<void> {
    await Promise.all(
      this.settings.streams.map((stream, index) =>
        this.#runStream(stream, this.settings.seed + index),
      ),
    );
    await Promise.all(this.#pending);
  }

  async #runStream(stream: LoadStream, seed: number): Promise<void> {
    const random = createRandom(seed);
    const startMs = performance.now();
    const endMs = this.settings.seconds * MS_PER_SECOND;
    let atMs = nextArrivalMs(stream, 0, random);
    while (atMs < endMs) {
      const delayMs = startMs + atMs - performance.now();
      await new Promise(resolve => setTimeout(resolve, Math.max(0, delayMs)));
      this.#start(stream);
      atMs = nextArrivalMs(stream, atMs, random);
    }
  }

  #start(stream: LoadStream): void {
    this.#callCount += 1;
    const idempotencyKey = `${stream.organisation}-${this.settings.seed}-${this.#callCount}`;
    const call = this.#call(stream, idempotencyKey).then(answer => {
      this.observe({ stream, answer, idempotencyKey });
    });
    this.#pending.add(call);
    void call.finally(() => this.#pending.delete(call));
  }

  /** Tries the next address only if a call failed before any token of the answer arrived. */
  async #call(
    stream: LoadStream,
    idempotencyKey: string,
  ): Promise<CallerAnswer> {
    const urls = await this.#addresses.urlsToTry();
    let lastError = 'no address to call';
    for (const url of urls.slice(0, MAX_CONNECT_ATTEMPTS)) {
      try {
        return await this.#send(stream, url, idempotencyKey);
      } catch (err) {
        lastError = String(err);
        this.#addresses.invalidate();
      }
    }
    return brokenAnswer(lastError, 0);
  }

  #send(
    stream: LoadStream,
    url: string,
    idempotencyKey: string,
  ): Promise<CallerAnswer> {
    if ('service' in stream.target) {
      return callService({
        url,
        stream,
        service: stream.target.service,
        idempotencyKey,
        body: `call ${idempotencyKey}`,
      });
    }
    const filler = 'x'.repeat(stream.promptTokens * CHARACTERS_PER_TOKEN);
    return callChat({
      url,
      stream,
      model: stream.target.model,
      messages: [
        { role: 'system', content: SHARED_PREFIX + stream.organisation },
        { role: 'user', content: `${idempotencyKey} ${filler}` },
      ],
    });
  }
}
