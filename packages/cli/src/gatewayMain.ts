import { Cli } from 'clipanion';

import { GatewayCommand } from './commands/GatewayCommand.js';
import { VERSION } from './version.js';

// The gateway alone. An instance that is killed serves again as soon as its
// program is loaded, and the other commands would be a third of that.
const cli = new Cli({
  binaryLabel: 'jujubecroft gateway',
  binaryName: 'jujubecroft',
  binaryVersion: VERSION,
});

cli.register(GatewayCommand);

void cli.runExit(process.argv.slice(2));
