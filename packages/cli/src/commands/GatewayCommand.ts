import type { BaseContext } from 'clipanion';
import { Command, Option } from 'clipanion';
import type { HeldConnections } from '@jujubecroft/gateway/early';

import { EXIT } from '../exitCodes.js';
import { untilStopped } from '../untilStopped.js';

/** What a program that starts the gateway at once hands to its command. */
export interface GatewayCommandContext extends BaseContext {
  /** Connections of callers that came while the program was loaded. */
  readonly held?: HeldConnections | null;
}

/** Runs one instance of the gateway on the platform. */
export class GatewayCommand extends Command<GatewayCommandContext> {
  static override paths = [['gateway']];
  static override usage = Command.Usage({
    description: 'run one instance of the gateway on the platform',
    details:
      'Reads the settings file that the platform names in the environment, or the one given. SIGHUP reads it again. SIGTERM takes the instance out of service, finishes every request in flight and ends.',
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
      'host and port at which other instances reach this one, where they differ from those it listens on',
  });

  async execute(): Promise<number> {
    // Loaded here, so that other commands need no memory for it.
    const { runGateway, SETTINGS_VARIABLE } =
      await import('@jujubecroft/platform');
    const file = this.settings ?? process.env[SETTINGS_VARIABLE];
    if (file === undefined) {
      this.context.stderr.write(
        `Name a settings file with --settings or in ${SETTINGS_VARIABLE}.\n`,
      );
      return EXIT.usage;
    }
    const gateway = await runGateway(file, {
      peerAddress: this.peerAddress,
      held: this.context.held ?? null,
    });
    process.on('SIGHUP', gateway.reload);
    await untilStopped();
    await gateway.stop();
    return EXIT.ok;
  }
}
