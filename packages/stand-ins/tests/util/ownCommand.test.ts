import { describe } from '@jujubecroft/testing';

import { ownCommand } from '../../src/util/ownCommand.js';

describe('ownCommand', ({ it }) => {
  it('returns the Node.js options and the script of a program run from a script', t => {
    t.deepEqual(ownCommand(['node', '/a/main.ts', 'x'], ['--import=tsx']), [
      '--import=tsx',
      '/a/main.ts',
    ]);
    t.deepEqual(ownCommand(['node', '/a/start.cjs', 'x'], []), [
      '/a/start.cjs',
    ]);
  });

  // In a single-executable build, argv[1] is the path of the binary instead of a
  // script. If it were passed on, a child process would take it for a command
  // name and exit.
  it('returns no arguments for a single-executable build', t => {
    const binary = '/opt/jujubecroft';
    t.deepEqual(ownCommand([binary, binary, 'soak'], []), []);
  });
});
