import type { ServerResponse } from 'node:http';
import type { FastifyReply } from 'fastify';
import type { RouterErrorInstance } from '@jujubecroft/types';

import type { AnswerSink } from '../host/Session.js';
import { errorEnvelope } from './errorEnvelope.js';
import { sendError } from './sendError.js';

const OK = 200;
const MS_PER_SECOND = 1000;

/** Fields that identify a chat answer. */
export interface ChatIdentity {
  readonly id: string;
  readonly model: string;
}

const nowSeconds = (): number => Math.floor(Date.now() / MS_PER_SECOND);

/** Streams an answer as server-sent events. */
export class StreamingChatSink implements AnswerSink<string> {
  /** Start of each event's JSON object, without the closing brace. */
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
      created: nowSeconds(),
      model,
    };
    this.#head = JSON.stringify(fields).slice(0, -1);
  }

  onProgress(text: string): void {
    const delta = `{"content":${JSON.stringify(text)}}`;
    this.#open().write(this.#event(delta, 'null'));
  }

  onComplete(): void {
    this.#open().end(`${this.#event('{}', '"stop"')}data: [DONE]\n\n`);
    this.onEnded();
  }

  /**
   * Sends an error reply if nothing has been streamed yet, else an error event.
   */
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

/** Buffers an answer and sends it as one JSON body. */
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

  onComplete(): void {
    const { id, model } = this.identity;
    const message = { role: 'assistant', content: this.#text };
    // Nest would answer a POST with 201 by default.
    void this.reply
      .code(OK)
      .header('x-request-id', id)
      .send({
        id,
        object: 'chat.completion',
        created: nowSeconds(),
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
