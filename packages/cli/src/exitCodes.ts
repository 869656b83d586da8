/** Exit codes of the commands, as listed in docs/COMMANDS.md. */
export const EXIT = {
  ok: 0,
  /** The command failed. */
  failed: 1,
  /** Invalid arguments. */
  usage: 2,
  /** A settings file is invalid. */
  badSettings: 3,
  /** A run completed, but a promise of the service was broken. */
  brokenPromise: 4,
} as const;
