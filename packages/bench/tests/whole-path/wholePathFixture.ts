import { request } from 'undici';
import { z } from 'zod';

import { demoDeployment, keyOf, LocalFleet } from '../../src/index.js';

const SIZE = {
  instances: 3,
  engines: 3,
  services: 1,
  engineModel: { stepBaseMs: 2, stepPerSequenceMs: 0.05 },
};

/** Body of a refusal. */
export const errorSchema = z.object({
  error: z.object({ code: z.number(), ran: z.string(), action: z.string() }),
});
/** Body of a chat answer that is not streamed. */
export const answerSchema = z.object({
  choices: z.array(z.object({ message: z.object({ content: z.string() }) })),
});
/** Time that callers may cache an address list, in seconds. */
export const cacheTimeSchema = z.object({ keep_seconds: z.number() });
/** Instances in an address list. */
export const addressesSchema = z.object({
  addresses: z.array(z.object({ instance: z.string() })),
});

export const HEADERS = {
  authorization: `Bearer ${keyOf('konoba-mir')}`,
  'content-type': 'application/json',
  'x-request-class': 'recipe-costing',
};

export const MESSAGES = [{ role: 'user', content: 'What does a plate cost?' }];

/** Runs a test body against a fleet of three instances, three engines and one service. */
export async function withFleet(
  body: (fleet: LocalFleet, url: string) => Promise<void>,
): Promise<void> {
  const fleet = new LocalFleet();
  try {
    await fleet.start(SIZE);
    await fleet.apply(demoDeployment(fleet.servers));
    await body(fleet, fleet.callerUrls[0] ?? '');
  } finally {
    await fleet.stop();
  }
}

/** Parameters of a call; those left out have the defaults of a chat call. */
export interface CallOptions {
  readonly path?: string;
  readonly method?: 'GET' | 'POST' | 'PUT';
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
}

/** Sends one call to an instance. */
export async function sendCall(
  url: string,
  { path, method, headers, body }: CallOptions,
) {
  const res = await request(`${url}${path ?? '/v1/chat/completions'}`, {
    method: method ?? 'POST',
    headers: headers ?? HEADERS,
    ...(body === undefined ? {} : { body }),
  });
  return { status: res.statusCode, text: await res.body.text(), res };
}

/** Body of a chat request. */
export const chatBody = (maxTokens: number, stream = false): string =>
  JSON.stringify({
    model: 'chef-small',
    messages: MESSAGES,
    max_tokens: maxTokens,
    stream,
  });

/** Waits until an engine generates tokens and returns its URL. */
export async function waitForBusyEngine(fleet: LocalFleet): Promise<string> {
  const countSchema = z.object({ generatedTokens: z.number() });
  for (let poll = 0; poll < 400; poll += 1) {
    for (const { url } of fleet.engines) {
      const counts = await fleet.read(url, '/control/counts');
      if (countSchema.parse(counts).generatedTokens > 3) {
        return url;
      }
    }
    await new Promise(resolve => setTimeout(resolve, 5));
  }
  throw new Error('timed out waiting for an engine that generates tokens');
}
