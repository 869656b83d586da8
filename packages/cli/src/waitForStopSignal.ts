/** Resolves when the process is asked to stop. */
export function untilStopped(): Promise<void> {
  return new Promise(resolve => {
    process.once('SIGTERM', () => {
      resolve();
    });
    process.once('SIGINT', () => {
      resolve();
    });
  });
}
