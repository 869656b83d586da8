import type { IncomingMessage } from 'node:http';

import { headerValue } from '../util/headers.js';
import { onConnectionEnd } from './onConnectionEnd.js';

/**
 * Watches whether the chunks of a body are decoded.
 *
 * Node.js reads chunks that it does not decode up to the end of the connection. It does not
 * decode them if a tab follows the name of the coding, and removes that tab from the header.
 *
 * @param res - response whose body has not been read
 * @returns a function that tells, at the end of the body, whether chunks were not decoded
 */
export function watchDecoding(res: IncomingMessage): () => boolean {
  let isUndecoded = false;
  if (headerValue(res.rawHeaders, 'transfer-encoding') !== undefined) {
    onConnectionEnd(res, () => {
      isUndecoded = !res.complete;
    });
  }
  return () => isUndecoded;
}
