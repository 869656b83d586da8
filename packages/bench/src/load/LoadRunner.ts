import type { LoadSettings, LoadStream } from '@jujubecroft/settings';
import { createRandom } from '@jujubecroft/types';

import { AddressBook } from './AddressBook.js';
import type { CallerAnswer } from './CallerAnswer.js';
import { brokenAnswer } from './CallerAnswer.js';
import { callChat } from './callChat.js';
import { callService } from './callService.js';
import { nextArrivalMs } from './nextArrivalMs.js';

/** One finished call with what is needed to check promises afterwards. */
export interface FinishedCall {
  readonly stream: LoadStream;
  readonly answer: CallerAnswer;
  readonly idempotencyKey: string;
}

/** Told after each call. */
export type CallObserver = (call: FinishedCall) => void;

const MS_PER_SECOND = 1000;
const CHARACTERS_PER_TOKEN = 4;
const SHARED_PREFIX = 'You answer briefly and only from the given facts. ';
const CONNECT_TRIES = 3;

/**
 * Sends open-loop load: each stream's calls start when their time has come,
 * whether or not earlier ones have ended.
 */
export class LoadRunner {
  readonly #addresses: AddressBook;
  readonly #running = new Set<Promise<void>>();
  #calls = 0;

  constructor(
    private readonly settings: LoadSettings,
    private readonly observe: CallObserver,
  ) {
    this.#addresses = new AddressBook(settings.entryUrls);
  }

  /** Runs every stream to its end and waits for the last call. */
  async run(): Promise<void> {
    await Promise.all(
      this.settings.streams.map((stream, index) =>
        this.#runStream(stream, this.settings.seed + index),
      ),
    );
    await Promise.all(this.#running);
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
    this.#calls += 1;
    const name = `${stream.organisation}-${this.settings.seed}-${this.#calls}`;
    const call = this.#call(stream, name).then(answer => {
      this.observe({ stream, answer, idempotencyKey: name });
    });
    this.#running.add(call);
    void call.finally(() => this.#running.delete(call));
  }

  /** Another address is tried only when no connection was made. */
  async #call(stream: LoadStream, name: string): Promise<CallerAnswer> {
    const urls = await this.#addresses.inOrder();
    let last = 'no address';
    for (const url of urls.slice(0, CONNECT_TRIES)) {
      try {
        return await this.#send(stream, url, name);
      } catch (err) {
        last = String(err);
        this.#addresses.distrust();
      }
    }
    return brokenAnswer(last, 0);
  }

  #send(stream: LoadStream, url: string, name: string): Promise<CallerAnswer> {
    if ('service' in stream.target) {
      return callService({
        url,
        stream,
        service: stream.target.service,
        idempotencyKey: name,
        body: `call ${name}`,
      });
    }
    const filler = 'x'.repeat(stream.promptTokens * CHARACTERS_PER_TOKEN);
    return callChat({
      url,
      stream,
      model: stream.target.model,
      messages: [
        { role: 'system', content: SHARED_PREFIX + stream.organisation },
        { role: 'user', content: `${name} ${filler}` },
      ],
    });
  }
}
