import type { BaseContext } from 'clipanion';
import { Command, Option } from 'clipanion';
import type { EarlyConnections } from '@jujubecroft/gateway/early';

import { EXIT } from '../exitCodes.js';
import { serveGateway } from '../serveGateway.js';

/** Context that the program with only the gateway command passes to it. */
export interface GatewayCommandContext extends BaseContext {
  /** Connections of callers that arrived while the program was loading. */
  readonly held?: EarlyConnections | null;
}

/** Runs one instance of the gateway on the platform. */
export class GatewayCommand extends Command<GatewayCommandContext> {
  static override paths = [['gateway']];
  static override usage = Command.Usage({
    description: 'run one instance of the gateway on the platform',
    details:
      'Reads the settings file given by --settings or, without it, by the environment variable that the platform sets. SIGHUP reloads the file. On SIGTERM the instance leaves service, finishes every request in flight and exits.',
    examples: [
      ['Run as the platform does', '$0 gateway'],
      ['Run with another file', '$0 gateway --settings local.json'],
    ],
  });

  readonly settings = Option.String('--settings', {
    description: 'path of the settings file',
  });

  readonly peerAddress = Option.String('--peer-address', {
    description:
      'host and port at which other instances reach this one, if they differ from those it listens on',
  });

  readonly divideCapacity = Option.Boolean('--divide-capacity', false, {
    description:
      'divide the capacity of a service equally among organisations while it is short',
  });

  async execute(): Promise<number> {
    // Imported on demand, so that other commands do not hold it in memory.
    const { SETTINGS_VARIABLE } = await import('@jujubecroft/platform');
    const file = this.settings ?? process.env[SETTINGS_VARIABLE];
    if (file === undefined) {
      this.context.stderr.write(
        `No settings file given; pass --settings or set ${SETTINGS_VARIABLE}.\n`,
      );
      return EXIT.usage;
    }
    await serveGateway(file, {
      peerAddress: this.peerAddress,
      dividesCapacity: this.divideCapacity,
      held: this.context.held ?? null,
    });
    return EXIT.ok;
  }
}
