import type { ClientRequest } from 'node:http';
import type { Socket } from 'node:net';

import { HeadGrammar } from './HeadGrammar.js';
import { InvalidResponseError } from './InvalidResponseError.js';

/** Tells whether the head of a final response was read and is well-formed. */
export type HeadCheck = () => boolean;

/**
 * Applies a `HeadGrammar` to the response to a request, whose bytes it gets before the HTTP
 * parser does.
 *
 * The parser still reads the bytes that are refused, and may emit a response. It may also end
 * a head sooner than its grammar does. Whoever handles the response therefore asks first
 * whether its head is complete.
 *
 * @param req - the request, before it has a connection
 * @param onMalformed - called when a head is malformed; ends the exchange
 * @returns the check for those who handle the response
 */
export function checkHeads(
  req: ClientRequest,
  onMalformed: (err: InvalidResponseError) => void,
): HeadCheck {
  const grammar = new HeadGrammar();
  req.once('socket', (socket: Socket) => {
    const onData = (data: Buffer): void => {
      if (!grammar.accepts(data)) {
        socket.off('data', onData);
        onMalformed(malformedHead());
      }
    };
    socket.prependListener('data', onData);
    req.once('close', () => {
      socket.off('data', onData);
    });
  });
  return () => grammar.isComplete;
}

/** @returns the error for a response whose head is malformed */
export function malformedHead(): InvalidResponseError {
  return new InvalidResponseError(
    'malformed',
    'head of a response is malformed',
  );
}
