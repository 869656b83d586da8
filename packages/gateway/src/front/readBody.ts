import type { IncomingMessage } from 'node:http';

import type { BufferBudget } from '../responses/BufferBudget.js';
import { GrowingBuffer } from '../responses/GrowingBuffer.js';
import { headerValue } from '../util/headers.js';
import { StalledUploads } from './StalledUploads.js';

/** A request body in memory. */
export interface RequestBody {
  readonly bytes: Buffer;
  /** Returns its memory to the budget, once nothing uses the bytes any more. */
  readonly release: () => void;
}

/** Result of reading a body. */
export type BodyReadResult =
  | { readonly kind: 'whole'; readonly body: RequestBody | null }
  /** The bodies of all requests together leave no room for it. */
  | { readonly kind: 'noMemory' }
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
 * @param budget - memory for the bodies of all requests
 * @param abandoned - settles when nothing waits for the body any longer; never if omitted
 * @param uploads - the bodies that are being read, which share the budget
 * @returns the body; null within the result if the request has none
 */
export async function readBody(
  req: IncomingMessage,
  maxBytes: number,
  budget: BufferBudget,
  abandoned?: Promise<unknown>,
  uploads = new StalledUploads(() => performance.now()),
): Promise<BodyReadResult> {
  if (!hasBody(req)) {
    return { kind: 'whole', body: null };
  }
  const stated = statedLength(req);
  const isTooLarge = stated > maxBytes;
  if (isTooLarge || !uploads.makeRoom(() => budget.has(stated))) {
    // An unread body would pause the connection, and its end would go unnoticed
    // while earlier requests of it run.
    req.resume();
    return { kind: isTooLarge ? 'tooLarge' : 'noMemory' };
  }
  return new Promise(resolve => {
    const body = new GrowingBuffer(budget, stated > 0 ? stated : maxBytes);
    let isSettled = false;
    const upload = {
      length: 0,
      progressMs: uploads.clock(),
      refuse: () => {
        settle({ kind: 'noMemory' });
      },
    };
    const settle = (result: BodyReadResult): void => {
      if (!isSettled) {
        isSettled = true;
        uploads.remove(upload);
        if (result.kind !== 'whole') {
          body.release();
        }
        resolve(result);
      }
    };
    uploads.add(upload);
    req.on('data', (chunk: Buffer) => {
      if (isSettled) {
        // Discards the rest instead of destroying the request, which would also
        // close the connection before the error response is written.
        return;
      }
      upload.progressMs = uploads.clock();
      if (body.length + chunk.length > maxBytes) {
        settle({ kind: 'tooLarge' });
      } else if (uploads.makeRoom(() => body.append(chunk))) {
        upload.length = body.length;
      } else {
        settle({ kind: 'noMemory' });
      }
    });
    req.once('end', () => {
      const release = (): void => {
        body.release();
      };
      settle({ kind: 'whole', body: { bytes: body.bytes, release } });
    });
    // The caller closed the connection; nobody is left to receive a response.
    // Both events also follow the end, which has settled the result then.
    const onBroken = (): void => {
      settle({ kind: 'broken' });
    };
    req.on('error', onBroken);
    req.once('close', onBroken);
    // Once its response is complete, Node.js does not report the end of an unread request.
    void abandoned?.then(onBroken);
  });
}
