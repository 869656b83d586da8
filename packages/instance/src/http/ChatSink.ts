import type { ServerResponse } from 'node:http';
import type { FastifyReply } from 'fastify';
import type { RouterErrorInstance } from '@jujubecroft/types';

import type { AnswerSink } from '../host/Session.js';
import { errorEnvelope } from './errorEnvelope.js';
import { sendError } from './sendError.js';

const OK = 200;
const MS_PER_SECOND = 1000;

/** Identity of one chat answer. */
export interface ChatIdentity {
  readonly id: string;
  readonly model: string;
}

const createdNow = (): number => Math.floor(Date.now() / MS_PER_SECOND);

/** Sends an answer as server-sent events, as it comes. */
export class StreamingChatSink implements AnswerSink<string> {
  readonly #head: string;
  #raw: ServerResponse | null = null;

  constructor(
    private readonly reply: FastifyReply,
    private readonly identity: ChatIdentity,
    private readonly onEnded: () => void,
  ) {
    const { id, model } = identity;
    const fields = {
      id,
      object: 'chat.completion.chunk',
      created: createdNow(),
      model,
    };
    this.#head = JSON.stringify(fields).slice(0, -1);
  }

  onProgress(text: string): void {
    const delta = `{"content":${JSON.stringify(text)}}`;
    this.#open().write(this.#event(delta, 'null'));
  }

  onWhole(): void {
    this.#open().end(`${this.#event('{}', '"stop"')}data: [DONE]\n\n`);
    this.onEnded();
  }

  /** Before the first token a plain error reply, afterwards an error event. */
  onRefused(err: RouterErrorInstance): void {
    if (this.#raw === null) {
      sendError(this.reply, err, this.identity.id);
    } else {
      const body = JSON.stringify(errorEnvelope(err, this.identity.id));
      this.#raw.end(`data: ${body}\n\n`);
    }
    this.onEnded();
  }

  #open(): ServerResponse {
    if (this.#raw === null) {
      this.#raw = this.reply.hijack().raw;
      this.#raw.writeHead(OK, {
        'content-type': 'text/event-stream',
        'cache-control': 'no-store',
        'x-request-id': this.identity.id,
      });
    }
    return this.#raw;
  }

  #event(delta: string, finishReason: string): string {
    return `data: ${this.#head},"choices":[{"index":0,"delta":${delta},"finish_reason":${finishReason}}]}\n\n`;
  }
}

/** Collects an answer and sends it whole. */
export class CollectingChatSink implements AnswerSink<string> {
  #text = '';

  constructor(
    private readonly reply: FastifyReply,
    private readonly identity: ChatIdentity,
    private readonly onEnded: () => void,
  ) {}

  onProgress(text: string): void {
    this.#text += text;
  }

  onWhole(): void {
    const { id, model } = this.identity;
    const message = { role: 'assistant', content: this.#text };
    // The framework would answer a POST with 201.
    void this.reply
      .code(OK)
      .header('x-request-id', id)
      .send({
        id,
        object: 'chat.completion',
        created: createdNow(),
        model,
        choices: [{ index: 0, message, finish_reason: 'stop' }],
      });
    this.onEnded();
  }

  onRefused(err: RouterErrorInstance): void {
    sendError(this.reply, err, this.identity.id);
    this.onEnded();
  }
}
