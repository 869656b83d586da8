import type { EventLog } from '@jujubecroft/events';
import { createBoundedLog } from '@jujubecroft/events';

import { applySettings } from './applySettings.js';
import type { SocketFactory } from './backends/openSocket.js';
import type { EarlyConnections } from './front/acceptEarlyConnections.js';
import type { GatewaySettings } from './GatewaySettings.js';
import type { GatewayPorts, RunningGateway } from './startGateway.js';
import { startGateway } from './startGateway.js';
import type { DocumentParseResult } from './util/parseDocument.js';

/**
 * Interval at which the settings file is checked for changes; it may change
 * without a signal.
 */
const RELOAD_INTERVAL_MS = 2000;

/** A running gateway with its reactions to signals. */
export interface GatewayProcess {
  readonly running: RunningGateway;
  /** Reads the settings file again, as after SIGHUP. */
  readonly reload: () => void;
  readonly stop: () => Promise<void>;
}

/** Creates the log of an instance. */
export type LogFactory = (settings: GatewaySettings) => EventLog;

/** Options of a gateway in addition to its settings file. */
export interface RunOptions {
  /**
   * Address at which other instances reach this one; that of the settings if
   * omitted.
   */
  readonly peerAddress?: string | undefined;
  /**
   * Whether instances divide capacity among organisations while it is short;
   * false if omitted.
   */
  readonly dividesCapacity?: boolean;
  /**
   * Connections of callers that were accepted while the program was loading.
   */
  readonly held?: EarlyConnections | null;
  /** Opens connections to backend servers; `connect` of `node:net` if omitted. */
  readonly connect?: SocketFactory;
  /** Creates the log; writes to standard output if omitted. */
  readonly createLog?: LogFactory;
}

/**
 * Source of the settings of a process, and the ports that are created from
 * them.
 */
export interface SettingsSource<
  Settings extends { readonly gateway: GatewaySettings },
> {
  /** Path of the settings file. */
  readonly file: string;
  readonly read: () => DocumentParseResult<Settings>;
  /** Creates the ports; the settings that it is given may change later. */
  readonly createPorts: (
    settings: () => Settings,
    log: EventLog,
  ) => GatewayPorts;
}

const logToStdout: LogFactory = ({ instance, logLevel }) =>
  createBoundedLog({
    instance,
    level: logLevel,
    clock: () => performance.now(),
  });

function readOrThrow<Settings extends { readonly gateway: GatewaySettings }>(
  { file, read }: SettingsSource<Settings>,
  { peerAddress, dividesCapacity = false }: RunOptions,
): Settings {
  const result = read();
  if (result.ok) {
    const { settings } = result;
    const gateway = {
      ...settings.gateway,
      dividesCapacity,
      ...(peerAddress === undefined ? {} : { peerAddress }),
    };
    return { ...settings, gateway };
  }
  const faults = result.faults
    .map(({ path, message }) => `  ${path}: ${message}`)
    .join('\n');
  throw new Error(`${file} has faults:\n${faults}`);
}

/**
 * Starts a gateway and applies later changes of its settings file.
 *
 * @param source - source of the settings
 * @param options - options in addition to the settings file
 * @returns the running gateway
 * @throws Error that lists all validation errors of the settings
 */
export async function runFromSettings<
  Settings extends { readonly gateway: GatewaySettings },
>(
  source: SettingsSource<Settings>,
  options: RunOptions = {},
): Promise<GatewayProcess> {
  const { held = null, createLog = logToStdout, connect } = options;
  let settings = readOrThrow(source, options);
  const log = createLog(settings.gateway);
  const ports = { ...source.createPorts(() => settings, log), connect };
  const running = await startGateway(settings.gateway, ports, log, held);

  const reload = (): void => {
    try {
      const next = readOrThrow(source, options);
      if (JSON.stringify(next) === JSON.stringify(settings)) {
        return;
      }
      settings = next;
      const fields = applySettings(running.context, next.gateway);
      const { gateway, ...others } = next;
      log.write('settingsReloaded', { settings: { ...gateway, ...others } });
      if (fields.length > 0) {
        log.write('settingsNeedRestart', { fields });
      }
    } catch (err) {
      const error = err instanceof Error ? err.message : String(err);
      log.write('settingsRefused', { error });
    }
  };
  const timer = setInterval(reload, RELOAD_INTERVAL_MS);
  return {
    running,
    reload,
    stop: async () => {
      clearInterval(timer);
      await running.stop();
    },
  };
}
