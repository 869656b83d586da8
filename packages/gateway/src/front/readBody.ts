import type { IncomingMessage } from 'node:http';

import { headerValue } from '../util/headers.js';

/** Result of reading a body. */
export type BodyReadResult =
  | { readonly kind: 'whole'; readonly body: Buffer | null }
  | { readonly kind: 'tooLarge' }
  | { readonly kind: 'broken' };

/** Length of the body that the request head states, in bytes; 0 for none. */
function statedLength({ rawHeaders }: IncomingMessage): number {
  return Number(headerValue(rawHeaders, 'content-length') ?? 0);
}

/** Whether the request head announces a body. */
function hasBody(req: IncomingMessage): boolean {
  return (
    statedLength(req) > 0 ||
    headerValue(req.rawHeaders, 'transfer-encoding') !== undefined
  );
}

/**
 * Reads the complete body of a request.
 *
 * The body is buffered before the request is forwarded, since bodies are small
 * compared with the memory of an instance. It can then be sent with its length,
 * and again to a second replica, and a caller that disconnects never leaves a
 * partial request on the connection to a replica.
 *
 * @param req - the request
 * @param maxBytes - limit for the body, in bytes
 * @returns the body; null within the result if the request has none
 */
export async function readBody(
  req: IncomingMessage,
  maxBytes: number,
): Promise<BodyReadResult> {
  if (!hasBody(req)) {
    return { kind: 'whole', body: null };
  }
  if (statedLength(req) > maxBytes) {
    // An unread body would pause the connection, and its end would go unnoticed
    // while earlier requests of it run.
    req.resume();
    return { kind: 'tooLarge' };
  }
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    req.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > maxBytes) {
        // Discards the rest instead of destroying the request, which would also
        // close the connection before the error response is written.
        chunks.length = 0;
        resolve({ kind: 'tooLarge' });
        return;
      }
      chunks.push(chunk);
    });
    req.once('end', () => {
      const [first = null] = chunks;
      const body = chunks.length > 1 ? Buffer.concat(chunks) : first;
      resolve({ kind: 'whole', body: body ?? Buffer.alloc(0) });
    });
    // The caller closed the connection; nobody is left to receive a response.
    // Both events also follow the end, which has settled the result then.
    const onBroken = (): void => {
      resolve({ kind: 'broken' });
    };
    req.on('error', onBroken);
    req.once('close', onBroken);
  });
}
