import { randomUUID } from 'node:crypto';
import { Controller, Get, Inject, Post, Req, Res } from '@nestjs/common';
import type { FastifyReply, FastifyRequest } from 'fastify';
import murmurhash from 'murmurhash';
import type { ModelId, RequestId } from '@jujubecroft/types';
import { brand, routerError } from '@jujubecroft/types';

import { CONTEXT, type InstanceContext } from '../InstanceContext.js';
import { CollectingChatSink, StreamingChatSink } from './ChatSink.js';
import { assertNotLeaving } from './assertNotLeaving.js';
import type { Caller } from './identifyCaller.js';
import { identifyCaller } from './identifyCaller.js';
import type { ChatRequest } from './parseChat.js';
import { parseChat } from './parseChat.js';
import { claimIdempotencyKey } from './claimIdempotencyKey.js';

/** Average length of a token, to estimate prompt lengths. */
const CHARACTERS_PER_TOKEN = 4;
const MAX_PREFIX_CHARACTERS = 4096;

function estimatePromptTokens(chat: ChatRequest): number {
  const characters = chat.messages.reduce(
    (sum, { content }) => sum + content.length,
    0,
  );
  return Math.ceil(characters / CHARACTERS_PER_TOKEN);
}

/**
 * Hashes the start of the first message, which related prompts usually share.
 */
function hashPrefix(chat: ChatRequest): number {
  const first = chat.messages[0]?.content ?? '';
  return murmurhash.v3(first.slice(0, MAX_PREFIX_CHARACTERS));
}

/** Serves chat completions and the list of models. */
@Controller('v1')
export class ChatController {
  constructor(@Inject(CONTEXT) private readonly context: InstanceContext) {}

  @Get('models')
  models(): object {
    const data = this.context.host.configuration.modelVersions.map(
      ({ id, version }) => ({ id, object: 'model', owned_by: version }),
    );
    return { object: 'list', data };
  }

  @Post('chat/completions')
  async chat(
    @Req() req: FastifyRequest,
    @Res() reply: FastifyReply,
  ): Promise<void> {
    assertNotLeaving(this.context);
    const caller = identifyCaller(req, this.context.host.router.board.declared);
    const chat = parseChat(req.body);
    this.#assertDeclaredModel(chat.model);
    const id = brand<RequestId>(randomUUID());
    const mayRun = await claimIdempotencyKey(this.context, caller, id, reply);
    if (mayRun) {
      this.#submit(caller, chat, id, reply);
    }
  }

  #assertDeclaredModel(model: string): void {
    const { modelVersions } = this.context.host.configuration;
    if (!modelVersions.some(({ id }) => id === model)) {
      throw routerError('unknownModel', `No model "${model}" is declared.`);
    }
  }

  #submit(
    caller: Caller,
    chat: ChatRequest,
    id: RequestId,
    reply: FastifyReply,
  ): void {
    const { host } = this.context;
    const { organisation, requestClass, idempotent } = caller;
    const identity = { id, model: chat.model };
    let ended = false;
    const onEnded = (): void => {
      ended = true;
    };
    const Sink = chat.stream ? StreamingChatSink : CollectingChatSink;
    reply.raw.on('close', () => {
      if (!ended) {
        host.callerLeft(id);
      }
    });
    host.submit({
      kind: 'engine',
      request: {
        id,
        organisation: organisation.id,
        requestClass: requestClass.id,
        target: { kind: 'engine', model: brand<ModelId>(chat.model) },
        promptTokens: estimatePromptTokens(chat),
        prefixHash: hashPrefix(chat),
        maxOutputTokens: Math.min(
          chat.max_completion_tokens ?? chat.max_tokens ?? Infinity,
          requestClass.maxOutputTokens,
        ),
        idempotent,
      },
      messages: chat.messages,
      sink: new Sink(reply, identity, onEnded),
      delivered: '',
      handle: null,
    });
  }
}
