import { createParser } from 'eventsource-parser';
import { request } from 'undici';
import { z } from 'zod';
import type { LoadStream } from '@jujubecroft/settings';
import type { ChatMessage } from '@jujubecroft/stand-ins';
import { expectedAnswer } from '@jujubecroft/stand-ins';

import type { CallerAnswer } from './CallerAnswer.js';
import {
  brokenAnswer,
  leftAnswer,
  refusedAnswer,
  wholeAnswer,
} from './CallerAnswer.js';
import { callerHeaders } from './callerHeaders.js';

const OK = 200;
const DONE = '[DONE]';

export const errorSchema = z.object({
  error: z.object({ code: z.number(), ran: z.enum(['maybe', 'no', 'yes']) }),
});

const chunkSchema = z.object({
  choices: z.array(
    z.object({ delta: z.object({ content: z.string().optional() }) }),
  ),
});

/** One chat call. */
export interface ChatCall {
  readonly url: string;
  readonly stream: LoadStream;
  readonly model: string;
  readonly messages: readonly ChatMessage[];
}

/** Collects one streamed answer. */
class AnswerReader {
  text = '';
  tokens = 0;
  done = false;
  refusal: z.infer<typeof errorSchema> | null = null;
  firstAtMs = 0;
  lastAtMs = 0;
  readonly #parser = createParser({
    onEvent: ({ data }) => {
      this.#read(data);
    },
  });

  feed(bytes: string): void {
    this.#parser.feed(bytes);
  }

  #read(data: string): void {
    if (data === DONE) {
      this.done = true;
      return;
    }
    const body: unknown = JSON.parse(data);
    const refusal = errorSchema.safeParse(body);
    if (refusal.success) {
      this.refusal = refusal.data;
      return;
    }
    const content = chunkSchema.parse(body).choices[0]?.delta.content ?? '';
    if (content === '') {
      return;
    }
    this.lastAtMs = performance.now();
    this.firstAtMs ||= this.lastAtMs;
    this.text += content;
    this.tokens = this.text.split(' ').length - 1;
  }
}

function judge(
  reader: AnswerReader,
  call: ChatCall,
  startedMs: number,
): CallerAnswer {
  if (reader.refusal) {
    const { code, ran } = reader.refusal.error;
    return refusedAnswer(code, ran, reader.tokens);
  }
  if (!reader.done) {
    return brokenAnswer('stream ended without an end mark', reader.tokens);
  }
  if (reader.text !== expectedAnswer(call.messages, call.stream.maxTokens)) {
    return brokenAnswer('answer differs from the expected one', reader.tokens);
  }
  const gaps = Math.max(1, reader.tokens - 1);
  return wholeAnswer(
    reader.tokens,
    reader.firstAtMs - startedMs,
    (reader.lastAtMs - reader.firstAtMs) / gaps,
  );
}

/**
 * Sends one chat call as a caller would and checks the answer byte for byte.
 *
 * @param call - where to and what
 * @returns what the caller experienced
 * @throws when the connection could not be made, so another address may be tried
 */
export async function callChat(call: ChatCall): Promise<CallerAnswer> {
  const { stream } = call;
  const startedMs = performance.now();
  const patience = AbortSignal.timeout(stream.patienceMs);
  const reader = new AnswerReader();
  try {
    const res = await request(`${call.url}/v1/chat/completions`, {
      method: 'POST',
      headers: callerHeaders(stream),
      body: JSON.stringify({
        model: call.model,
        messages: call.messages,
        max_tokens: stream.maxTokens,
        stream: true,
      }),
      signal: patience,
    });
    if (res.statusCode !== OK) {
      const { error } = errorSchema.parse(await res.body.json());
      return refusedAnswer(error.code, error.ran, 0);
    }
    res.body.setEncoding('utf8');
    for await (const bytes of res.body) {
      reader.feed(String(bytes));
    }
    return judge(reader, call, startedMs);
  } catch (err) {
    if (patience.aborted) {
      return leftAnswer(reader.tokens);
    }
    if (reader.tokens > 0) {
      return brokenAnswer(String(err), reader.tokens);
    }
    throw err;
  }
}
