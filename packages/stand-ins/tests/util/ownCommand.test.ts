import { describe } from '@jujubecroft/testing';

import { ownCommand } from '../../src/util/ownCommand.js';

describe('ownCommand', ({ it }) => {
  it('names runtime arguments and script of a program that has one', t => {
    t.deepEqual(ownCommand(['node', '/a/main.ts', 'x'], ['--import=tsx']), [
      '--import=tsx',
      '/a/main.ts',
    ]);
    t.deepEqual(ownCommand(['node', '/a/start.cjs', 'x'], []), [
      '/a/start.cjs',
    ]);
  });

  // Somebody runs a soak from the single binary. Its own path stands where a
  // script would; handed on, every child would take it for a command and end.
  it('names nothing for a binary', t => {
    const binary = '/opt/jujubecroft';
    t.deepEqual(ownCommand([binary, binary, 'soak'], []), []);
  });
});
