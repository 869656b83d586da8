import type { IncomingMessage } from 'node:http';

/** What came of reading a body. */
export type BodyRead =
  | { readonly kind: 'whole'; readonly body: Buffer | null }
  | { readonly kind: 'tooLarge' }
  | { readonly kind: 'broken' };

/** Whether the head announces a body. */
function hasBody(req: IncomingMessage): boolean {
  const { headers } = req;
  return (
    headers['transfer-encoding'] !== undefined ||
    Number(headers['content-length'] ?? 0) > 0
  );
}

/**
 * Reads the whole body of a request.
 *
 * Bodies are small against the memory of an instance, and a body that is whole
 * can be sent with its length, to a second replica too, and never leaves a
 * replica's connection in the middle of one.
 *
 * @param req - the request
 * @param maxBytes - bound on the body
 * @returns the body; null where the request has none
 */
export async function readBody(
  req: IncomingMessage,
  maxBytes: number,
): Promise<BodyRead> {
  if (!hasBody(req)) {
    return { kind: 'whole', body: null };
  }
  if (Number(req.headers['content-length'] ?? 0) > maxBytes) {
    return { kind: 'tooLarge' };
  }
  const chunks: Buffer[] = [];
  let bytes = 0;
  try {
    for await (const chunk of req as AsyncIterable<Buffer>) {
      bytes += chunk.length;
      if (bytes > maxBytes) {
        return { kind: 'tooLarge' };
      }
      chunks.push(chunk);
    }
  } catch {
    // The caller broke off; nobody is left to answer.
    return { kind: 'broken' };
  }
  return { kind: 'whole', body: Buffer.concat(chunks) };
}
