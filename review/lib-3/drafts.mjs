// Audit-drafts: their prompts, and the engines that answer them.
import { HOST_NAME, KEY } from './Config.mjs';
import { send } from './Client.mjs';
import { sleep } from './Fleet.mjs';

/** Prompt tokens of the sheet's audit-draft. */
export const SHARED_TOKENS = 5382;
export const OWN_TOKENS = 6610;
const OUTPUT_TOKENS = 384;
/** Time to the first event, within the aim of 2,000 ms. */
const READ_MS = 600;
const EVENTS = 64;
const EVENT_MS = 20;

/** Answers a draft as a sound engine. */
export async function answerDraft({ res, head }) {
  await sleep(READ_MS);
  res.writeHead(200, { ...head, 'content-type': 'text/event-stream' });
  for (let id = 1; id <= EVENTS && !res.destroyed; id += 1) {
    res.write(`id: ${id}\ndata: ${'x'.repeat(40)}\n\n`);
    await sleep(EVENT_MS);
  }
  res.end();
}

let partCount = 0;

/** A new part of a prompt. */
export function newPart(tokens) {
  partCount += 1;
  return `${(0x5c1e0000 + partCount).toString(16)}:${tokens}`;
}

/** Sends a draft whose prompt has the given parts. */
export function sendDraft({ host, port, parts, agent }) {
  return send({
    host,
    port,
    name: HOST_NAME,
    method: 'POST',
    path: '/audit/draft',
    key: KEY,
    deadlineMs: 12_000,
    headers: {
      'x-jujubecroft-model': 'm',
      'x-jujubecroft-token-usage': `${SHARED_TOKENS + OWN_TOKENS},${OUTPUT_TOKENS}`,
      'x-jujubecroft-prompt-prefix': parts.join(','),
    },
    body: Buffer.alloc(12_000, 'c'),
    agent,
  });
}
