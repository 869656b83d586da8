import type { IncomingMessage } from 'node:http';

/**
 * Calls a listener if the connection of a response ends while the response is open, before
 * the HTTP parser takes the end of the connection for that of the body.
 *
 * @param res - response whose body has not been read
 * @param listener - called once at most
 */
export function onConnectionEnd(
  res: IncomingMessage,
  listener: () => void,
): void {
  const { socket } = res;
  socket.prependOnceListener('end', listener);
  // The connection may serve further requests.
  res.once('close', () => {
    socket.off('end', listener);
  });
}
