import { createParser } from 'eventsource-parser';
import type { Dispatcher, Pool } from 'undici';
import { z } from 'zod';

import { classifyFailure } from './classifyFailure.js';
import type {
  AttemptHandle,
  AttemptListener,
  EngineCall,
  EngineProgress,
} from './EngineCall.js';

const OK = 200;
const DONE = '[DONE]';

const chunkSchema = z.object({
  choices: z
    .array(
      z.object({
        delta: z.object({ content: z.string().nullish() }),
        finish_reason: z.string().nullish(),
      }),
    )
    .min(1),
});

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

/** Follows one event stream up to its `[DONE]`. */
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

  /** Takes bytes in; all tokens among them become one progress call. */
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
    const chunk = chunkSchema.parse(JSON.parse(data));
    const content = chunk.choices[0]?.delta.content ?? '';
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
  if (res.statusCode !== OK) {
    await refuse(res, listener);
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

/** An engine that answers with an error status did not start the request. */
async function refuse(
  res: Dispatcher.ResponseData,
  listener: AttemptListener<EngineProgress>,
): Promise<void> {
  await res.body.dump();
  listener.onFailed({ ran: 'no', reason: 'refused' });
}

/**
 * Sends a request to an engine and follows its stream.
 *
 * @param pool - connections to the engine
 * @param call - the attempt
 * @param listener - hears tokens and the end
 * @returns handle to cancel; closing the connection makes the engine stop
 */
export function startEngineAttempt(
  pool: Pool,
  call: EngineCall,
  listener: AttemptListener<EngineProgress>,
): AttemptHandle {
  const controller = new AbortController();
  run(pool, call, listener, controller.signal).catch((err: unknown) => {
    if (!controller.signal.aborted) {
      listener.onFailed(classifyFailure(err));
    }
  });
  return {
    cancel: () => {
      controller.abort();
    },
  };
}
