import type { Socket } from 'node:net';

const BLOCK_BYTES = 64 * 1024;

/**
 * Writes the same bytes to a connection again and again, until it closes.
 *
 * @param socket - the connection
 * @param repeated - the bytes, one for each character
 */
export function writeWithoutEnd(socket: Socket, repeated: string): void {
  const block = Buffer.from(
    repeated.repeat(Math.ceil(BLOCK_BYTES / repeated.length)),
    'latin1',
  );
  const write = (): void => {
    while (socket.writable && socket.write(block)) {
      // Fills the buffer of the socket.
    }
  };
  socket.on('drain', write);
  // The other side may reset the connection.
  socket.on('error', () => undefined);
  write();
}
