import './ignoreEarlyReload.js';

import { Builtins, Cli } from 'clipanion';

import { ConfigCheckCommand } from './commands/ConfigCheckCommand.js';
import {
  CtlApplyCommand,
  CtlDeclareCommand,
  CtlDrainCommand,
  CtlRemoveCommand,
} from './commands/ctlChanges.js';
import {
  CtlAuditCommand,
  CtlListCommand,
  CtlStatusCommand,
  CtlWatchCommand,
} from './commands/ctlViews.js';
import { DemoCommand } from './commands/DemoCommand.js';
import {
  ExperimentListCommand,
  ExperimentRunCommand,
} from './commands/experimentCommands.js';
import { createGroupHelp } from './commands/createGroupHelp.js';
import { ExplainCommand } from './commands/ExplainCommand.js';
import { GatewayCommand } from './commands/GatewayCommand.js';
import { LoadCommand } from './commands/LoadCommand.js';
import { ReportCommand } from './commands/ReportCommand.js';
import { ServeCommand } from './commands/ServeCommand.js';
import {
  SoakCommand,
  SoakGatewayCommand,
  SoakReplicaCommand,
} from './commands/soakCommands.js';
import { StandInCommand } from './commands/StandInCommand.js';
import { VERSION } from './version.js';

const cli = new Cli({
  binaryLabel: 'jujubecroft',
  binaryName: 'jujubecroft',
  binaryVersion: VERSION,
});

[
  Builtins.HelpCommand,
  Builtins.VersionCommand,
  ConfigCheckCommand,
  CtlApplyCommand,
  CtlAuditCommand,
  CtlDeclareCommand,
  CtlDrainCommand,
  CtlListCommand,
  CtlRemoveCommand,
  CtlStatusCommand,
  CtlWatchCommand,
  DemoCommand,
  ExperimentListCommand,
  ExperimentRunCommand,
  ExplainCommand,
  GatewayCommand,
  LoadCommand,
  ReportCommand,
  ServeCommand,
  SoakCommand,
  SoakGatewayCommand,
  SoakReplicaCommand,
  StandInCommand,
  ...['config', 'ctl', 'experiment', 'stand-in'].map(createGroupHelp),
].forEach(command => {
  cli.register(command);
});

void cli.runExit(process.argv.slice(2));
