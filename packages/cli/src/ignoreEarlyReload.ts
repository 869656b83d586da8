// SIGHUP ends a process that does not listen for it. While the gateway starts, there is
// nothing to reload: it reads its settings later, and again at an interval. Other commands
// end with their terminal.
const [command, subcommand] = process.argv.slice(2);
const isGateway =
  command === 'gateway' || (command === 'soak' && subcommand === 'gateway');
if (isGateway) {
  process.on('SIGHUP', () => undefined);
}
