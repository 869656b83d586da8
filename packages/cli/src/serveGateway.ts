import type { RunOptions } from '@jujubecroft/gateway';

import { waitForStopSignal } from './waitForStopSignal.js';

/**
 * Runs one instance of the gateway on the platform until it is asked to stop.
 *
 * @param file - path of the settings file, which SIGHUP reloads
 * @param options - options that are not part of the settings file
 * @throws Error that lists every fault of the settings
 */
export async function serveGateway(
  file: string,
  options: RunOptions,
): Promise<void> {
  // Imported on demand, so that other commands do not hold it in memory.
  const { runGateway } = await import('@jujubecroft/platform');
  // Callers are accepted before the start has finished, so that it must not be cut short.
  const stopRequested = waitForStopSignal();
  const gateway = await runGateway(file, options);
  process.on('SIGHUP', gateway.reload);
  await stopRequested;
  await gateway.stop();
}
