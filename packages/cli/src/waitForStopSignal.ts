/**
 * Resolves when the process receives SIGTERM or SIGINT.
 *
 * Further SIGTERMs are ignored, as a supervisor may repeat the signal while requests
 * are still being finished. A second SIGINT ends the process at once.
 */
export function waitForStopSignal(): Promise<void> {
  return new Promise(resolve => {
    process.on('SIGTERM', () => {
      resolve();
    });
    process.once('SIGINT', () => {
      resolve();
    });
  });
}
