import type { EventLog } from '@jujubecroft/events';
import { createBoundedLog } from '@jujubecroft/events';

import type { HeldConnections } from './front/holdConnections.js';
import type { GatewaySettings } from './GatewaySettings.js';
import type { GatewayPorts, RunningGateway } from './startGateway.js';
import { startGateway } from './startGateway.js';
import type { CheckedRead } from './util/readChecked.js';

/** The settings file may change without a signal; it is looked at this often. */
const RELOAD_EVERY_MS = 2000;

/** A gateway with the reaction to its signals. */
export interface GatewayProcess {
  readonly running: RunningGateway;
  /** Reads the settings file again, as after a SIGHUP. */
  readonly reload: () => void;
  readonly stop: () => Promise<void>;
}

/** Makes the log of an instance. */
export type LogFactory = (settings: GatewaySettings) => EventLog;

/** How a gateway is run beside what its settings file says. */
export interface RunOptions {
  /** Where other instances reach this one; where it listens, if omitted. */
  readonly peerAddress?: string | undefined;
  /** Connections of callers that came while the program was loaded. */
  readonly held?: HeldConnections | null;
  /** Writes to standard output where omitted. */
  readonly createLog?: LogFactory;
}

/** Where the settings of a process come from, and what follows from them. */
export interface SettingsSource<
  Settings extends { readonly gateway: GatewaySettings },
> {
  /** Path of the file. */
  readonly file: string;
  readonly read: () => CheckedRead<Settings>;
  readonly createPorts: (settings: Settings, log: EventLog) => GatewayPorts;
}

const logToStdout: LogFactory = ({ instance, logLevel }) =>
  createBoundedLog({
    instance,
    level: logLevel,
    clock: () => performance.now(),
  });

function readOrThrow<Settings extends { readonly gateway: GatewaySettings }>(
  { file, read }: SettingsSource<Settings>,
  peerAddress: string | undefined,
): Settings {
  const result = read();
  if (result.ok) {
    const { settings } = result;
    return peerAddress === undefined
      ? settings
      : { ...settings, gateway: { ...settings.gateway, peerAddress } };
  }
  const faults = result.faults
    .map(({ path, message }) => `  ${path}: ${message}`)
    .join('\n');
  throw new Error(`${file} has faults:\n${faults}`);
}

/**
 * Starts a gateway, and puts changes of its settings in force.
 *
 * @param source - of the settings
 * @param options - what the file doesn't say
 * @returns the running gateway
 * @throws Error that lists every fault of the settings
 */
export async function runFromSettings<
  Settings extends { readonly gateway: GatewaySettings },
>(
  source: SettingsSource<Settings>,
  { peerAddress, held = null, createLog = logToStdout }: RunOptions = {},
): Promise<GatewayProcess> {
  const settings = readOrThrow(source, peerAddress);
  const log = createLog(settings.gateway);
  const ports = source.createPorts(settings, log);
  const running = await startGateway(settings.gateway, ports, log, held);
  let inForce = JSON.stringify(settings.gateway);

  const reload = (): void => {
    try {
      const next = readOrThrow(source, peerAddress).gateway;
      const text = JSON.stringify(next);
      if (text !== inForce) {
        inForce = text;
        running.context.settings = next;
        log.write('settingsReloaded', { settings: next });
      }
    } catch (err) {
      const error = err instanceof Error ? err.message : String(err);
      log.write('settingsRefused', { error });
    }
  };
  const timer = setInterval(reload, RELOAD_EVERY_MS);
  return {
    running,
    reload,
    stop: async () => {
      clearInterval(timer);
      await running.stop();
    },
  };
}
