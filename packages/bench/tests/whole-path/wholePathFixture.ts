import { request } from 'undici';
import { z } from 'zod';

import { demoDeployment, keyOf, LocalFleet } from '../../src/index.js';

const SIZE = {
  instances: 3,
  engines: 3,
  services: 1,
  engineModel: { stepBaseMs: 2, stepPerSequenceMs: 0.05 },
};

export const errorSchema = z.object({
  error: z.object({ code: z.number(), ran: z.string(), action: z.string() }),
});
export const answerSchema = z.object({
  choices: z.array(z.object({ message: z.object({ content: z.string() }) })),
});
export const keepSchema = z.object({ keep_seconds: z.number() });
export const addressesSchema = z.object({
  addresses: z.array(z.object({ instance: z.string() })),
});

export const HEADERS = {
  authorization: `Bearer ${keyOf('konoba-mir')}`,
  'content-type': 'application/json',
  'x-request-class': 'recipe-costing',
};

export const MESSAGES = [{ role: 'user', content: 'What does a plate cost?' }];

/** Runs a body with a fleet of three instances, three engines and one service. */
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

/** A call with its defaults left out. */
export interface Call {
  readonly path?: string;
  readonly method?: 'GET' | 'POST' | 'PUT';
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
}

/** Sends one call as a caller does. */
export async function call(url: string, { path, method, headers, body }: Call) {
  const res = await request(`${url}${path ?? '/v1/chat/completions'}`, {
    method: method ?? 'POST',
    headers: headers ?? HEADERS,
    ...(body === undefined ? {} : { body }),
  });
  return { status: res.statusCode, text: await res.body.text(), res };
}

/** Body of a chat request. */
export const chat = (maxTokens: number, stream = false): string =>
  JSON.stringify({
    model: 'chef-small',
    messages: MESSAGES,
    max_tokens: maxTokens,
    stream,
  });

/** Waits for an engine that generates, and says which. */
export async function busyEngine(fleet: LocalFleet): Promise<string> {
  const countSchema = z.object({ generatedTokens: z.number() });
  for (let tries = 0; tries < 400; tries += 1) {
    for (const { url } of fleet.engines) {
      const counts = await fleet.read(url, '/control/counts');
      if (countSchema.parse(counts).generatedTokens > 3) {
        return url;
      }
    }
    await new Promise(resolve => setTimeout(resolve, 5));
  }
  throw new Error('no engine generates');
}
