/** Exit codes of the program; docs/COMMANDS.md lists them. */
export const EXIT = {
  ok: 0,
  /** A call or run failed. */
  failed: 1,
  /** Unusable arguments. */
  usage: 2,
  /** A settings file has faults. */
  badSettings: 3,
  /** A run ended but broke a promise. */
  brokenPromise: 4,
} as const;
