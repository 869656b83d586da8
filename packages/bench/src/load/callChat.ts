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

/** Body of a refusal. */
export const errorSchema = z.object({
  error: z.object({ code: z.number(), ran: z.enum(['maybe', 'no', 'yes']) }),
});

const chunkSchema = z.object({
  choices: z.array(
    z.object({ delta: z.object({ content: z.string().optional() }) }),
  ),
});

/** Parameters of one chat call. */
export interface ChatCall {
  readonly url: string;
  readonly stream: LoadStream;
  readonly model: string;
  readonly messages: readonly ChatMessage[];
}

/** Parses one streamed answer and records its timing. */
class AnswerReader {
  text = '';
  tokens = 0;
  done = false;
  refusal: z.infer<typeof errorSchema> | null = null;
  firstTokenAtMs = 0;
  lastTokenAtMs = 0;
  readonly #parser = createParser({
    onEvent: ({ data }) => {
      this.#read(data);
    },
  });

  push(chunk: string): void {
    this.#parser.feed(chunk);
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
    this.lastTokenAtMs = performance.now();
    this.firstTokenAtMs ||= this.lastTokenAtMs;
    this.text += content;
    this.tokens = this.text.split(' ').length - 1;
  }
}

function toCallerAnswer(
  reader: AnswerReader,
  call: ChatCall,
  startedMs: number,
): CallerAnswer {
  if (reader.refusal) {
    const { code, ran } = reader.refusal.error;
    return refusedAnswer(code, ran, reader.tokens);
  }
  if (!reader.done) {
    return brokenAnswer('stream ended without [DONE]', reader.tokens);
  }
  if (reader.text !== expectedAnswer(call.messages, call.stream.maxTokens)) {
    return brokenAnswer('answer differs from the expected one', reader.tokens);
  }
  const gapCount = Math.max(1, reader.tokens - 1);
  return wholeAnswer(
    reader.tokens,
    reader.firstTokenAtMs - startedMs,
    (reader.lastTokenAtMs - reader.firstTokenAtMs) / gapCount,
  );
}

/**
 * Sends one chat call and checks that the answer is the expected text.
 *
 * @param call - address and content of the call
 * @returns the outcome as the caller saw it
 * @throws if the call failed before the first token, so another address may be tried
 */
export async function callChat(call: ChatCall): Promise<CallerAnswer> {
  const { stream } = call;
  const startedMs = performance.now();
  const timeout = AbortSignal.timeout(stream.patienceMs);
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
      signal: timeout,
    });
    if (res.statusCode !== OK) {
      const { error } = errorSchema.parse(await res.body.json());
      return refusedAnswer(error.code, error.ran, 0);
    }
    res.body.setEncoding('utf8');
    for await (const chunk of res.body) {
      reader.push(String(chunk));
    }
    return toCallerAnswer(reader, call, startedMs);
  } catch (err) {
    if (timeout.aborted) {
      return leftAnswer(reader.tokens);
    }
    if (reader.tokens > 0) {
      return brokenAnswer(String(err), reader.tokens);
    }
    throw err;
  }
}
