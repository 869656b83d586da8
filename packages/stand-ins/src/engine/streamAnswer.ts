import type { FastifyReply } from 'fastify';

import { tokenAt } from './answer.js';
import type { EngineDriver } from './EngineDriver.js';
import type { SequencePlan } from './planSequence.js';

const OK = 200;

function formatChunk(
  plan: SequencePlan,
  content: string,
  finishReason: 'stop' | null,
): string {
  const body = {
    id: plan.sequence.id,
    object: 'chat.completion.chunk',
    created: Math.floor(Date.now() / 1000),
    model: plan.model,
    choices: [{ index: 0, delta: { content }, finish_reason: finishReason }],
  };
  return `data: ${JSON.stringify(body)}\n\n`;
}

/**
 * Streams a sequence as server-sent events, one token per event. Cancels the
 * sequence if the client disconnects, and closes the connection without an end
 * marker if the engine crashes.
 *
 * @param reply - reply to hijack; the function writes to its socket directly
 * @param driver - engine that generates the sequence
 * @param plan - the sequence and the data for its text
 */
export function streamAnswer(
  reply: FastifyReply,
  driver: EngineDriver,
  plan: SequencePlan,
): void {
  const { raw } = reply.hijack();
  const { id } = plan.sequence;
  raw.writeHead(OK, {
    'content-type': 'text/event-stream',
    'cache-control': 'no-store',
  });
  raw.flushHeaders();
  raw.on('close', () => {
    driver.cancel(id);
  });
  driver.submit(plan.sequence, {
    onToken: index => {
      const text = tokenAt(plan.conversation, plan.resumeFrom + index);
      raw.write(formatChunk(plan, text, null));
    },
    onFinished: () => {
      raw.end(`${formatChunk(plan, '', 'stop')}data: [DONE]\n\n`);
    },
    onLost: () => {
      raw.destroy();
    },
  });
}
