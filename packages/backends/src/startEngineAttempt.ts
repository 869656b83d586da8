import { finished } from 'node:stream/promises';
import { createParser } from 'eventsource-parser';
import type { Pool } from 'undici';

import type {
  AttemptHandle,
  AttemptListener,
  EngineCall,
  EngineProgress,
} from './EngineCall.js';
import { failureOf } from './util/failureOf.js';
import { runAttempt } from './util/runAttempt.js';

const OK = 200;
const DONE = '[DONE]';

/** The parts of a stream chunk that are read. Checked by hand, since it runs for each token. */
interface Chunk {
  readonly choices?: readonly {
    readonly delta?: { readonly content?: unknown };
  }[];
}

/**
 * Extracts the new text from a stream chunk.
 *
 * @param data - the chunk as JSON
 * @returns the text; empty where the chunk has none
 * @throws Error when the chunk is malformed, so that the attempt counts as broken
 */
function contentOf(data: string): string {
  const chunk = JSON.parse(data) as Chunk;
  const [choice] = chunk.choices ?? [];
  if (!choice) {
    throw new Error('The engine sent a chunk without choices.');
  }
  const content = choice.delta?.content;
  return typeof content === 'string' ? content : '';
}

function bodyOf(call: EngineCall): string {
  const partial =
    call.delivered === ''
      ? []
      : [{ role: 'assistant', content: call.delivered }];
  return JSON.stringify({
    model: call.model,
    messages: [...call.messages, ...partial],
    max_tokens: Math.max(1, call.maxTokens - call.deliveredTokens),
    priority: call.priority,
    stream: true,
    ...(call.delivered === ''
      ? {}
      : { continue_final_message: true, add_generation_prompt: false }),
  });
}

/** Reads one event stream up to its `[DONE]` marker. */
class StreamReader {
  #done = false;
  #text = '';
  #tokens = 0;
  readonly #parser = createParser({
    onEvent: ({ data }) => {
      this.#read(data);
    },
  });

  constructor(private readonly listener: AttemptListener<EngineProgress>) {}

  get done(): boolean {
    return this.#done;
  }

  /** Parses bytes; reports all tokens in them by one call of `onProgress`. */
  feed(bytes: string): void {
    this.#parser.feed(bytes);
    if (this.#tokens === 0) {
      return;
    }
    const progress = { text: this.#text, tokens: this.#tokens };
    this.#text = '';
    this.#tokens = 0;
    this.listener.onProgress(progress);
  }

  #read(data: string): void {
    if (data === DONE) {
      this.#done = true;
      return;
    }
    const content = contentOf(data);
    this.#text += content;
    this.#tokens += content === '' ? 0 : 1;
  }
}

async function run(
  pool: Pool,
  call: EngineCall,
  listener: AttemptListener<EngineProgress>,
  signal: AbortSignal,
): Promise<void> {
  const res = await pool.request({
    path: '/v1/chat/completions',
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: bodyOf(call),
    signal,
  });
  const failure = failureOf(res, status => status !== OK);
  if (failure) {
    // A response that is cut off ends as a transport error.
    await finished(res.body.resume());
    listener.onFailed(failure);
    return;
  }
  const reader = new StreamReader(listener);
  res.body.setEncoding('utf8');
  for await (const bytes of res.body) {
    reader.feed(String(bytes));
  }
  if (reader.done) {
    listener.onFinished();
    return;
  }
  listener.onFailed({ ran: 'maybe', reason: 'broken' });
}

/**
 * Sends a request to an engine and reads its event stream.
 *
 * @param pool - connections to the engine
 * @param call - the attempt
 * @param listener - receives the tokens and the end
 * @returns handle that cancels the attempt; closing the connection makes the engine
 *   stop as well
 */
export function startEngineAttempt(
  pool: Pool,
  call: EngineCall,
  listener: AttemptListener<EngineProgress>,
): AttemptHandle {
  return runAttempt(
    signal => run(pool, call, listener, signal),
    failure => {
      listener.onFailed(failure);
    },
  );
}
