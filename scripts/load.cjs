// Starts the whole program, whose bundle takes long to compile.
const [, , command, subcommand] = process.argv;
if (command === 'gateway' || (command === 'soak' && subcommand === 'gateway')) {
  // Until the program listens for it, SIGHUP would end the process. Nothing that takes
  // time may precede this.
  process.on('SIGHUP', () => undefined);
}

require('./program.cjs');
