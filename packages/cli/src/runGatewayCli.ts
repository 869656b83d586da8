import { Cli } from 'clipanion';
import type { EarlyConnections } from '@jujubecroft/gateway/early';

import type { GatewayCommandContext } from './commands/GatewayCommand.js';
import { GatewayCommand } from './commands/GatewayCommand.js';
import { VERSION } from './version.js';

/**
 * Runs the command line of the program that contains only the gateway command.
 *
 * @param held - connections of callers that the gateway takes over; null for
 *   none
 */
export async function runGatewayCli(
  held: EarlyConnections | null,
): Promise<void> {
  const cli = new Cli<GatewayCommandContext>({
    binaryLabel: 'jujubecroft gateway',
    binaryName: 'jujubecroft',
    binaryVersion: VERSION,
  });
  cli.register(GatewayCommand);
  await cli.runExit(process.argv.slice(2), { ...Cli.defaultContext, held });
}
